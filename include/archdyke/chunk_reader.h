/// Reads chunked bodies of responses (RFC 9112, 7.1) strictly.
///
/// Bytes that don't belong to a body shift its chunks. A chunk is therefore returned only once its end was seen where its size says,
/// and lines between chunks are read byte for byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "archdyke/response_head.h"

namespace archdyke
{
	/// Bytes of chunks that are held back. Larger ones are returned in pieces.
	constexpr std::size_t kMaxHeldChunkBytes = 65'536;

	/// Chunks that are held back because a response's head may begin within them. The line behind them then isn't a chunk's size.
	constexpr std::size_t kMaxHeldChunks = 2;

	enum class ChunkState
	{
		Size, ///< Within the line with a chunk's size and extensions.
		Data,
		DataEnd, ///< Within the line end behind a chunk's data.
		Trailers,
		Done, ///< The body is complete.
		Count
	};

	struct ChunkReader
	{
		ChunkState state = ChunkState::Size;
		std::string line;             ///< Bytes of an incomplete line.
		std::size_t lineBytes = 0;    ///< Bytes of lines since the last data.
		std::uint64_t dataLeft = 0;   ///< Bytes of the chunk's data that must come.
		std::size_t dataEndBytes = 0; ///< Bytes of the line end behind the data that came.
		std::string held;             ///< Data that wasn't returned.
		std::size_t checkedBytes = 0; ///< Bytes of the held data that were searched for a status line.
		bool inStatusLine = false;    ///< These end within a status line.
		std::size_t heldChunks = 0;   ///< Complete chunks among it.
		bool holdsHead = false;       ///< They contain a status line that ends as in a head.

		bool operator==(const ChunkReader&) const = default;
	};

	enum class ChunkFault
	{
		None,
		Malformed,
		Joined,   ///< Another response lies within the body.
		TooLarge, ///< The lines between two chunks, or the trailers, exceed their limit.
		Count
	};

	/// Reads bytes until the body is complete, they are used up, or a fault is found.
	/// @param[in,out] _bytes The bytes; those that were read are removed.
	/// @param[in] _maxLineBytes Maximum size of the lines between two chunks, and of the trailers.
	/// @param[out] _data Data of complete chunks is appended to it.
	/// @remarks Data with a status line whose line has no bare LF at its end is held until another chunk was read: a chunk may end
	/// by chance where a line of another response's head does.
	ChunkFault readChunks(ChunkReader& _reader, std::string_view& _bytes, std::size_t _maxLineBytes, std::string& _data);
} // namespace archdyke
