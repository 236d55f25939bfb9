#include "stub_stutter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"

namespace archdyke::stub
{
	namespace
	{
		constexpr Millis kMaxDelayMs = 120;      ///< Longest time after which late bytes come.
		constexpr Millis kPieceIntervalMs = 1;   ///< Between two pieces of bytes without end.
		constexpr std::size_t kPieceBytes = 512; ///< Size of such a piece.
		constexpr Millis kChunkIntervalMs = 10;  ///< Between two chunks of a plain answer.

		/// @returns A random number in [0, 1).
		double randomShare(Random& _random)
		{
			constexpr std::uint64_t kSteps = 1'000'000;
			return double(randomBelow(_random, kSteps)) / double(kSteps);
		}

		/// An answer as it is written: at once, or in two pieces.
		struct Pieces
		{
			std::string first;
			std::string second;
		};

		Pieces serializePieces(const Stutter& _stutter, const http::ResponseHead& _head, const std::string& _body)
		{
			const std::size_t middle = _body.size() / 2;
			if (_stutter.chunked && 0 < middle)
			{
				return {http::serializeChunkedHead(_head) + http::serializeChunk(_body.substr(0, middle)), http::serializeChunk(_body.substr(middle)) + std::string(http::kLastChunk)};
			}
			const std::string whole = http::serialize(_head, _body);
			const bool isSplit = StutterKind::Between == _stutter.kind;
			const std::size_t end = whole.size() - (isSplit ? middle : 0);
			return {whole.substr(0, end), whole.substr(end)};
		}

		StutterKind pickKind(Random& _random)
		{
			// Bytes behind an answer are the most frequent kind, since what they do depends on where they are cut.
			constexpr std::pair<StutterKind, int> kWeights[] = {{StutterKind::CopyNow, 4}, {StutterKind::CopyLate, 10}, {StutterKind::CopyNext, 10}, {StutterKind::Between, 2}, {StutterKind::Cut, 4}, {StutterKind::NoAnswer, 2}, {StutterKind::EndlessHead, 1}, {StutterKind::EndlessBody, 1}};
			int total = 0;
			for (const auto& [kind, weight] : kWeights)
			{
				total += weight;
			}
			auto left = int(randomBelow(_random, std::uint64_t(total)));
			for (const auto& [kind, weight] : kWeights)
			{
				left -= weight;
				if (left < 0)
				{
					return kind;
				}
			}
			return StutterKind::None;
		}
	} // namespace

	StutterSettings readStutter(const nlohmann::json& _settings)
	{
		StutterSettings settings;
		settings.share = _settings.value("share", settings.share);
		settings.failedShare = _settings.value("failedShare", settings.failedShare);
		settings.rejectedShare = _settings.value("rejectedShare", settings.rejectedShare);
		settings.withinLength = _settings.value("withinLength", settings.withinLength);
		return settings;
	}

	StutterAnswer pickAnswer(Random& _random, const StutterSettings& _settings)
	{
		const double value = randomShare(_random);
		if (value < _settings.failedShare)
		{
			return StutterAnswer::Failed;
		}
		return value < _settings.failedShare + _settings.rejectedShare ? StutterAnswer::Rejected : StutterAnswer::Own;
	}

	Stutter pickStutter(Random& _random, const StutterSettings& _settings)
	{
		constexpr std::uint64_t kWholeOneIn = 3;
		constexpr int kCopyStatuses[] = {0, 0, 0, 0, 421, 503};
		Stutter stutter;
		stutter.chunked = 0 == randomBelow(_random, 2);
		if (_settings.share <= randomShare(_random))
		{
			return stutter;
		}
		stutter.kind = pickKind(_random);
		const bool mayBeWhole = StutterKind::Cut != stutter.kind;
		stutter.cutAt = mayBeWhole && 0 == randomBelow(_random, kWholeOneIn) ? 1.0 : randomShare(_random);
		stutter.delayMs = 1 + Millis(randomBelow(_random, kMaxDelayMs));
		stutter.copyStatus = kCopyStatuses[randomBelow(_random, std::size(kCopyStatuses))];
		stutter.atEvent = _random();
		// Bytes within a body that has a length can't be told from the body.
		stutter.chunked = stutter.chunked || (StutterKind::Between == stutter.kind && !_settings.withinLength);
		return stutter;
	}

	std::string cutAt(const std::string& _text, double _part)
	{
		const auto size = std::size_t(std::ceil(double(_text.size()) * _part));
		return _text.substr(0, std::clamp<std::size_t>(size, 1, std::max<std::size_t>(1, _text.size())));
	}

	std::string copyOf(const Stutter& _stutter, const std::string& _answer, const std::string& _other)
	{
		return cutAt(0 == _stutter.copyStatus ? _answer : _other, _stutter.cutAt);
	}

	OrderedWriter::OrderedWriter(http::HttpConnection& _connection, kj::Timer& _timer)
	    : connection(_connection)
	    , timer(_timer)
	    , last(kj::READY_NOW)
	    , late(*this)
	{
	}

	kj::Promise<void> OrderedWriter::write(std::string _bytes)
	{
		std::string bytes = std::exchange(this->beforeNext, "") + std::move(_bytes);
		auto written = this->last.then([this, bytes = std::move(bytes)]() mutable {
			                         return this->connection.write(std::move(bytes)).take();
		                         })
		                   .fork();
		this->last = written.addBranch();
		return written.addBranch();
	}

	void OrderedWriter::writeLater(std::string _bytes, Millis _delayMs)
	{
		this->late.add(this->timer.afterDelay(_delayMs * kj::MILLISECONDS).then([this, bytes = std::move(_bytes)]() mutable {
			return this->write(std::move(bytes));
		}));
	}

	void OrderedWriter::writeBeforeNext(const std::string& _bytes)
	{
		this->beforeNext += _bytes;
	}

	aio::Task<void> OrderedWriter::writeWithoutEnd(std::string _piece)
	{
		while (!this->connection.isDisconnected())
		{
			co_await this->write(_piece);
			co_await this->timer.afterDelay(kPieceIntervalMs * kj::MILLISECONDS);
		}
	}

	kj::Promise<void> OrderedWriter::pause()
	{
		return this->timer.afterDelay(kChunkIntervalMs * kj::MILLISECONDS);
	}

	void OrderedWriter::taskFailed(kj::Exception&& _error)
	{
		logInfo("late_bytes_not_written", {{"error", _error.getDescription().cStr()}}); // the caller has closed
	}

	aio::Task<void> writeEndlessHead(OrderedWriter& _writer)
	{
		std::string begin = "HTTP/1.1 200 OK\r\n";
		co_await _writer.write(std::move(begin));
		std::string line = "X-Filler: " + std::string(kPieceBytes, 'x') + "\r\n";
		co_await _writer.writeWithoutEnd(std::move(line));
	}

	aio::Task<void> writeEndlessChunks(OrderedWriter& _writer)
	{
		std::string chunk = http::serializeChunk(std::string(kPieceBytes, 'x'));
		co_await _writer.writeWithoutEnd(std::move(chunk));
	}

	aio::Task<bool> writeDisturbed(OrderedWriter& _writer, Stutter _stutter, http::ResponseHead _head, std::string _body, std::string _other)
	{
		const Pieces pieces = serializePieces(_stutter, _head, _body);
		const std::string whole = pieces.first + pieces.second;
		const std::string copy = copyOf(_stutter, whole, _other);
		std::string bytes;
		switch (_stutter.kind)
		{
		case StutterKind::Cut:
			bytes = whole.substr(0, std::min(copy.size(), whole.size() - 1));
			co_await _writer.write(std::move(bytes));
			co_return false;
		case StutterKind::NoAnswer:
			bytes = kNoAnswer;
			co_await _writer.write(std::move(bytes));
			co_return false;
		case StutterKind::EndlessHead:
			co_await writeEndlessHead(_writer);
			co_return false;
		case StutterKind::EndlessBody:
			bytes = http::serializeChunkedHead(_head);
			co_await _writer.write(std::move(bytes));
			co_await writeEndlessChunks(_writer);
			co_return false;
		default:
			break;
		}
		bytes = pieces.first + (pieces.second.empty() && StutterKind::CopyNow == _stutter.kind ? copy : "");
		co_await _writer.write(std::move(bytes));
		if (!pieces.second.empty())
		{
			co_await _writer.pause();
			bytes = (StutterKind::Between == _stutter.kind ? copy : "") + pieces.second + (StutterKind::CopyNow == _stutter.kind ? copy : "");
			co_await _writer.write(std::move(bytes));
		}
		followUp(_writer, _stutter, copy);
		co_return true;
	}

	aio::Task<bool> disturbStream(OrderedWriter& _writer, Stutter _stutter, std::string _chunk, std::string _copy)
	{
		std::string bytes;
		switch (_stutter.kind)
		{
		case StutterKind::Between:
			co_await _writer.write(std::move(_copy));
			co_return true;
		case StutterKind::Cut:
			bytes = cutAt(_chunk, _stutter.cutAt / 2.0);
			co_await _writer.write(std::move(bytes));
			co_return false;
		case StutterKind::NoAnswer:
			bytes = kNoAnswer;
			co_await _writer.write(std::move(bytes));
			co_return false;
		case StutterKind::EndlessBody:
			co_await writeEndlessChunks(_writer);
			co_return false;
		default:
			co_return true;
		}
	}

	void followUp(OrderedWriter& _writer, const Stutter& _stutter, std::string _copy)
	{
		if (StutterKind::CopyLate == _stutter.kind)
		{
			_writer.writeLater(std::move(_copy), _stutter.delayMs);
		}
		else if (StutterKind::CopyNext == _stutter.kind)
		{
			_writer.writeBeforeNext(_copy);
		}
	}
} // namespace archdyke::stub
