/// Tells whether the head of an HTTP/1.x response was written as one.
///
/// An upstream may send more bytes behind a whole response: a second copy, cut anywhere, at once or late. Whatever follows on
/// that connection then begins within these bytes. A head that is joined of two has the second one's status line within a
/// line of the first, where no sound upstream writes one.
#pragma once

#include <cstddef>
#include <string_view>

namespace archdyke
{
	enum class HeadFault
	{
		None,
		NotAHead, ///< The bytes aren't a head: an invalid status line, a status above 599, a line without a name, a control character, a folded line.
		Joined,   ///< It contains the status line of another response.
		Count
	};

	/// @returns Position of the first beginning of a response in a text: "HTTP/1.1 200", then a space or the end of its line.
	/// std::string_view::npos if there is none.
	/// @param[in] _from Where the search starts.
	std::size_t findStatusLine(std::string_view _text, std::size_t _from);

	/// @returns Whether a text contains the beginning of a response.
	bool containsStatusLine(std::string_view _text);

	/// @returns Whether a text contains the first bytes of a response.
	/// @param[in] _size Their number; beyond the status, what they are isn't checked.
	bool containsStartOfStatusLine(std::string_view _text, std::size_t _size);

	/// @returns Whether a text contains a control character other than a tab.
	bool containsControl(std::string_view _text);

	/// @returns Whether a text is the beginning of a response, or may become it with more bytes.
	bool mayStartResponse(std::string_view _text);

	/// @returns Whether a text ends with the beginning of a response that stops within its status line.
	/// @param[in] _min Minimum number of bytes of the response: few may be the end of any text.
	bool endsWithinStatusLine(std::string_view _text, std::size_t _min);

	/// @returns Size of the first head in a text, with its empty line; 0 if it is incomplete.
	/// @param[in] _from Bytes that are known not to contain its end.
	std::size_t headSize(std::string_view _text, std::size_t _from);

	/// @param[in] _line A line of a head or of trailers, without its line end.
	HeadFault checkHeaderLine(std::string_view _line);

	/// @param[in] _head A head with its empty line.
	/// @remarks Stricter than RFC 9112, 2.2 and 5.2: folded lines are rejected, since they hide where a line ends.
	HeadFault checkResponseHead(std::string_view _head);
} // namespace archdyke
