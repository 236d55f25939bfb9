/// Which exchange the bytes of a connection belong to.
#include <algorithm>
#include <functional>

#include "http/http_connection.h"
#include "http/socket_state.h"

namespace archdyke::http
{
	namespace
	{
		/// Number of recent exchanges whose tags a connection remembers.
		constexpr std::size_t kMaxCarriedTags = 16;
	} // namespace

	void HttpConnection::beginExchange(std::string_view _tag)
	{
		this->inExchange = true;
		if (!_tag.empty())
		{
			this->carried.push_back(std::hash<std::string_view>()(_tag));
		}
		if (this->carried.size() > kMaxCarriedTags)
		{
			this->carried.pop_front();
		}
	}

	void HttpConnection::endExchange()
	{
		this->inExchange = false;
	}

	bool HttpConnection::hasCarried(std::string_view _tag) const
	{
		return !_tag.empty() && this->carried.end() != std::find(this->carried.begin(), this->carried.end(), std::hash<std::string_view>()(_tag));
	}

	bool HttpConnection::isQuiet() const
	{
		return !this->gone && this->parts.empty() && !this->parser.isWithinMessage() && Waiting::Nothing == peek(*this->stream);
	}

	std::size_t HttpConnection::countBytesBehind() const
	{
		return this->parser.countBytesBehind() + countWaiting(*this->stream);
	}

	bool HttpConnection::hasStrayBytes() const
	{
		const bool closed = !this->parts.empty() && (PartKind::Closed == this->parts.front().kind || PartKind::Reset == this->parts.front().kind);
		return this->parser.isWithinMessage() || (!this->parts.empty() && !closed) || (!this->gone && Waiting::Bytes == peek(*this->stream));
	}

	std::optional<PartKind> HttpConnection::unreadKind() const
	{
		return this->parts.empty() ? std::nullopt : std::optional(this->parts.front().kind);
	}
} // namespace archdyke::http
