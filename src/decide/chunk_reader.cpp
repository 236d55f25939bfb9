#include "archdyke/chunk_reader.h"

#include <algorithm>
#include <utility>

namespace archdyke
{
	namespace
	{
		constexpr std::string_view kLineEnd = "\r\n";
		/// Digits of a chunk's size; more would overflow.
		constexpr std::size_t kMaxSizeDigits = 15;

		/// @returns The value of a hexadecimal digit; -1 for another character.
		int hexValue(char _c)
		{
			const char lower = char(_c | 0x20);
			if ('0' <= _c && _c <= '9')
			{
				return _c - '0';
			}
			return 'a' <= lower && lower <= 'f' ? lower - 'a' + 10 : -1;
		}

		std::size_t countDigits(std::string_view _line)
		{
			const auto end = std::find_if(_line.begin(), _line.end(), [](char _c) {
				return 0 > hexValue(_c);
			});
			return std::size_t(end - _line.begin());
		}

		/// @returns Whether an incomplete line may become one with a chunk's size.
		bool mayBeSizeLine(std::string_view _line)
		{
			const std::string_view start = _line.substr(0, kMaxSizeDigits + 1);
			const std::size_t digits = countDigits(start);
			const bool ended = digits < start.size();
			return digits <= kMaxSizeDigits && (!ended || (0 < digits && std::string_view::npos != std::string_view("; \t\r").find(start[digits])));
		}

		/// Reads a line with a chunk's size, without its line end.
		ChunkFault readSizeLine(ChunkReader& _reader, std::string_view _line)
		{
			const std::size_t digits = countDigits(_line);
			const std::size_t more = std::min(_line.find_first_not_of(" \t", digits), _line.size());
			const bool valid = 0 < digits && digits <= kMaxSizeDigits && (_line.size() == more || ';' == _line[more]);
			if (containsStatusLine(_line))
			{
				return ChunkFault::Joined;
			}
			if (!valid || containsControl(_line))
			{
				return ChunkFault::Malformed;
			}
			_reader.dataLeft = 0;
			for (const char digit : _line.substr(0, digits))
			{
				_reader.dataLeft = _reader.dataLeft * 16 + std::uint64_t(hexValue(digit));
			}
			_reader.state = 0 == _reader.dataLeft ? ChunkState::Trailers : ChunkState::Data;
			return ChunkFault::None;
		}

		/// Reads a line of the trailers, without its line end.
		ChunkFault readTrailer(ChunkReader& _reader, std::string_view _line)
		{
			if (_line.empty())
			{
				_reader.state = ChunkState::Done;
				return ChunkFault::None;
			}
			const HeadFault fault = checkHeaderLine(_line);
			return HeadFault::None == fault ? ChunkFault::None : HeadFault::Joined == fault ? ChunkFault::Joined
			                                                                                : ChunkFault::Malformed;
		}

		ChunkFault readCompleteLine(ChunkReader& _reader, std::string_view _line)
		{
			if (!_line.ends_with(kLineEnd))
			{
				return ChunkFault::Malformed;
			}
			_line.remove_suffix(kLineEnd.size());
			return ChunkState::Size == _reader.state ? readSizeLine(_reader, _line) : readTrailer(_reader, _line);
		}

		ChunkFault readLine(ChunkReader& _reader, std::string_view& _bytes, std::size_t _maxLineBytes)
		{
			const std::size_t end = _bytes.find('\n');
			const std::size_t size = std::string_view::npos == end ? _bytes.size() : end + 1;
			_reader.lineBytes += size;
			if (_reader.lineBytes > _maxLineBytes)
			{
				return ChunkFault::TooLarge;
			}
			std::string_view line = _bytes.substr(0, size);
			_bytes.remove_prefix(size);
			if (std::string_view::npos == end || !_reader.line.empty())
			{
				_reader.line += line;
				line = _reader.line;
			}
			if (std::string_view::npos == end)
			{
				return ChunkState::Size != _reader.state || mayBeSizeLine(line) ? ChunkFault::None : ChunkFault::Malformed;
			}
			const ChunkFault fault = readCompleteLine(_reader, line);
			_reader.line.clear();
			return fault;
		}

		void release(ChunkReader& _reader, std::string& _data)
		{
			if (_data.empty())
			{
				_data.swap(_reader.held);
			}
			else
			{
				_data += _reader.held;
			}
			_reader.held.clear();
			_reader.checkedBytes = 0;
			_reader.inStatusLine = false;
			_reader.holdsHead = false;
			_reader.heldChunks = 0;
		}

		/// @returns Whether the held data may end within the head of another response. Its status line ends with CRLF.
		bool mayEndInHead(ChunkReader& _reader)
		{
			const std::string_view held = _reader.held;
			while (!_reader.holdsHead)
			{
				const std::size_t status = _reader.inStatusLine ? _reader.checkedBytes : findStatusLine(held, _reader.checkedBytes);
				_reader.checkedBytes = held.size();
				if (std::string_view::npos == status)
				{
					return false;
				}
				const std::size_t end = held.find('\n', status);
				_reader.inStatusLine = std::string_view::npos == end;
				if (_reader.inStatusLine)
				{
					return true;
				}
				_reader.holdsHead = '\r' == held[end - 1];
				_reader.checkedBytes = end + 1;
			}
			return true;
		}

		void readData(ChunkReader& _reader, std::string_view& _bytes, std::string& _data)
		{
			const std::size_t size = std::size_t(std::min<std::uint64_t>(_reader.dataLeft, _bytes.size()));
			_reader.held += _bytes.substr(0, size);
			_bytes.remove_prefix(size);
			_reader.dataLeft -= size;
			_reader.lineBytes = 0;
			if (0 == _reader.dataLeft)
			{
				_reader.state = ChunkState::DataEnd;
				_reader.dataEndBytes = 0;
			}
			else if (_reader.held.size() > kMaxHeldChunkBytes)
			{
				release(_reader, _data);
			}
		}

		ChunkFault readDataEnd(ChunkReader& _reader, std::string_view& _bytes, std::string& _data)
		{
			if (kLineEnd[_reader.dataEndBytes] != _bytes.front())
			{
				return ChunkFault::Malformed;
			}
			_bytes.remove_prefix(1);
			_reader.dataEndBytes += 1;
			if (kLineEnd.size() == _reader.dataEndBytes)
			{
				_reader.state = ChunkState::Size;
				_reader.heldChunks += 1;
				if (!mayEndInHead(_reader) || _reader.heldChunks >= kMaxHeldChunks || _reader.held.size() > kMaxHeldChunkBytes)
				{
					release(_reader, _data);
				}
			}
			return ChunkFault::None;
		}
	} // namespace

	ChunkFault readChunks(ChunkReader& _reader, std::string_view& _bytes, std::size_t _maxLineBytes, std::string& _data)
	{
		ChunkFault fault = ChunkFault::None;
		while (!_bytes.empty() && ChunkState::Done != _reader.state && ChunkFault::None == fault)
		{
			switch (_reader.state)
			{
			case ChunkState::Data:
				readData(_reader, _bytes, _data);
				break;
			case ChunkState::DataEnd:
				fault = readDataEnd(_reader, _bytes, _data);
				break;
			default:
				fault = readLine(_reader, _bytes, _maxLineBytes);
			}
		}
		if (ChunkState::Done == _reader.state)
		{
			// Bytes of another response leave as many of the body's own behind its end.
			fault = ChunkFault::None == fault && !_bytes.empty() && !_reader.held.empty() ? ChunkFault::Joined : fault;
			if (ChunkFault::None == fault)
			{
				release(_reader, _data);
			}
		}
		return fault;
	}
} // namespace archdyke
