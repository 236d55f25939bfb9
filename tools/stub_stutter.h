/// Faults of an upstream that sends bytes which belong to no exchange, and the ordered writes of a connection that they need.
#pragma once

#include <kj/async-io.h>
#include <nlohmann/json.hpp>
#include <string>

#include "archdyke/random.h"
#include "archdyke/types.h"
#include "http/http_connection.h"

namespace archdyke::stub
{
	/// Bytes that are no answer.
	constexpr const char* kNoAnswer = "\x01\x02 this is no answer\r\n\r\n";

	/// How an answer is disturbed.
	enum class StutterKind
	{
		None,
		CopyNow,     ///< More bytes follow the answer at once.
		CopyLate,    ///< They follow some time later, perhaps within the next answer.
		CopyNext,    ///< They follow when the next request has arrived on the connection.
		Between,     ///< They come between two chunks of the answer.
		Cut,         ///< The answer stops at a random byte, also of its head, and the connection closes.
		NoAnswer,    ///< Other bytes come in its place, and the connection closes.
		EndlessHead, ///< A head without end, until the caller closes.
		EndlessBody, ///< A body without end, until the caller closes.
		Count
	};

	/// What an upstream answers by itself while it stutters.
	enum class StutterAnswer
	{
		Own,      ///< The answer that the request asks for.
		Failed,   ///< A failure after the run.
		Rejected, ///< A rejection before the run.
		Count
	};

	struct StutterSettings
	{
		double share = 0.6; ///< Share of the answers that are disturbed.
		double failedShare = 0.25;
		double rejectedShare = 0.2;
		bool withinLength = false; ///< Bytes also come within bodies that have a length.

		bool operator==(const StutterSettings&) const = default;
	};

	/// The disturbance of one answer.
	struct Stutter
	{
		StutterKind kind = StutterKind::None;
		double cutAt = 1.0;        ///< Where the bytes are cut, as a part of them; 1: they are whole.
		Millis delayMs = 0;        ///< CopyLate: time after the answer.
		int copyStatus = 0;        ///< Status of the answer that the further bytes are taken from; 0: the same answer.
		bool chunked = false;      ///< A plain answer is sent in chunks.
		std::uint64_t atEvent = 0; ///< Number that selects the event of a stream at which it happens.

		bool operator==(const Stutter&) const = default;
	};

	/// @returns The settings in a control message; those that it lacks have their defaults.
	StutterSettings readStutter(const nlohmann::json& _settings);

	StutterAnswer pickAnswer(Random& _random, const StutterSettings& _settings);
	Stutter pickStutter(Random& _random, const StutterSettings& _settings);

	/// @returns The first bytes of a text: at least one, unless it is empty.
	std::string cutAt(const std::string& _text, double _part);

	/// @returns The bytes that come in addition to an answer.
	/// @param[in] _other Another answer to the same request.
	std::string copyOf(const Stutter& _stutter, const std::string& _answer, const std::string& _other);

	/// Writes on one connection in the order in which the writes were begun, each one whole.
	class OrderedWriter final : private kj::TaskSet::ErrorHandler
	{
	public:
		OrderedWriter(http::HttpConnection& _connection, kj::Timer& _timer);

		/// @throws kj::Exception When the connection is broken.
		kj::Promise<void> write(std::string _bytes);

		/// Writes after some time, unless the connection is given up before.
		void writeLater(std::string _bytes, Millis _delayMs);

		/// Writes immediately before the next bytes of write().
		void writeBeforeNext(const std::string& _bytes);

		/// Waits for the time between two chunks.
		kj::Promise<void> pause();

		/// Writes a piece again and again until the other side closes.
		aio::Task<void> writeWithoutEnd(std::string _piece);

	private:
		void taskFailed(kj::Exception&& _error) override;

		http::HttpConnection& connection;
		kj::Timer& timer;
		std::string beforeNext;
		kj::Promise<void> last;
		kj::TaskSet late;
	};

	/// Writes an answer with its disturbance.
	/// @returns Whether the connection is kept open.
	aio::Task<bool> writeDisturbed(OrderedWriter& _writer, Stutter _stutter, http::ResponseHead _head, std::string _body, std::string _other);

	/// Writes the disturbance of a stream that comes before one of its chunks.
	/// @param[in] _copy Bytes that come in addition.
	/// @returns Whether the stream goes on.
	aio::Task<bool> disturbStream(OrderedWriter& _writer, Stutter _stutter, std::string _chunk, std::string _copy);

	/// Writes the bytes that come after an answer, at the time that the disturbance says.
	void followUp(OrderedWriter& _writer, const Stutter& _stutter, std::string _copy);

	aio::Task<void> writeEndlessHead(OrderedWriter& _writer);
	aio::Task<void> writeEndlessChunks(OrderedWriter& _writer);
} // namespace archdyke::stub
