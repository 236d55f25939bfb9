#include "archdyke/connection_end.h"

namespace archdyke
{
	bool isOrderly(const ConnectionEnd& _end)
	{
		return FinState::Received == _end.fin || (FinState::Unknown == _end.fin && _end.requestWritten);
	}
} // namespace archdyke
