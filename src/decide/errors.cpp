#include "archdyke/errors.h"

namespace archdyke
{
	namespace
	{
		std::string describe(const std::string& _source, const std::vector<Problem>& _problems)
		{
			std::string message = _source + ": " + std::to_string(_problems.size()) + (1 == _problems.size() ? " problem" : " problems");
			for (const Problem& problem : _problems)
			{
				message += "\n  " + problem.where + ": found " + problem.found + "; " + problem.remedy;
			}
			return message;
		}
	} // namespace

	InvalidInputError::InvalidInputError(const std::string& _source, std::vector<Problem> _problems)
	    : ArchdykeError(describe(_source, _problems))
	    , problems(std::move(_problems))
	{
	}
} // namespace archdyke
