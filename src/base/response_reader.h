/// Reads the one response that a connection carries, from bytes in pieces of any size.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "archdyke/connection_end.h"

namespace archdyke
{
	struct HttpHeader
	{
		std::string name;
		std::string value;

		bool operator==(const HttpHeader&) const = default;
	};

	struct HttpResponseHead
	{
		int status = 0;
		std::vector<HttpHeader> headers;

		bool operator==(const HttpResponseHead&) const = default;

		/// @returns The first value of a header, ignoring the name's case; empty when absent.
		std::string_view find(std::string_view _name) const;
	};

	struct ResponseLimits
	{
		std::size_t headBytes = 16'384; ///< Of all heads together: interim responses have one of their own.
		std::size_t bodyBytes = 0;

		bool operator==(const ResponseLimits&) const = default;
	};

	/// Whether a response's head may announce a body, which follows then.
	enum class ResponseBody
	{
		Announced,
		Absent ///< The response to a HEAD request.
	};

	enum class ResponseState
	{
		Incomplete,
		Complete,
		Cancelled,    ///< The receiver needs no more of it.
		Malformed,    ///< The bytes aren't a valid response.
		Joined,       ///< A head, or a body without a length, contains the status line of another response.
		HeadTooLarge, ///< Also of a chunk's extensions, or trailers.
		BodyTooLarge,
		Closed, ///< The connection ended within the response.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(ResponseState _state);

	/// Receives a response as it arrives. Each function returns false when no more of it is needed.
	struct ResponseReceiver
	{
		std::function<bool(const HttpResponseHead&)> onHead;
		std::function<bool(std::string_view)> onBody;
	};

	class ResponseReader
	{
	public:
		ResponseReader(ResponseLimits _limits, ResponseBody _body, ResponseReceiver _receiver);
		~ResponseReader();
		ResponseReader(const ResponseReader&) = delete;
		ResponseReader& operator=(const ResponseReader&) = delete;

		/// @returns The state after these bytes; once it isn't Incomplete, it stays. Bytes behind the response are ignored.
		ResponseState read(std::string_view _bytes);

		/// Ends the bytes: completes a response that is delimited by the end of its connection.
		ResponseState readEnd(const ConnectionEnd& _end);

	private:
		struct Parser;

		std::unique_ptr<Parser> parser;
	};
} // namespace archdyke
