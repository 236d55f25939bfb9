#include "gateway/caller_server.h"

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke::gateway
{
	namespace
	{
		using http::Part;
		using http::PartKind;

		/// Interval between timeout checks while a message is read, ms.
		constexpr Millis kPollIntervalMs = 250;

		/// File descriptors of this process for each connection of a caller: its own, and one to an upstream.
		constexpr std::size_t kDescriptorsPerCaller = 2;

		/// Result of reading a request.
		struct ReadResult
		{
			std::optional<ReceivedRequest> request;
			int status = 0; ///< Status of the response that ends the connection; 0 for none.
			std::string reason;
		};

		constexpr int kRequestTimeout = 408;

		/// @returns Status of the response to an unreadable request; 0 for none.
		int statusOf(PartKind _kind)
		{
			switch (_kind)
			{
			case PartKind::Malformed:
				return 400;
			case PartKind::HeadTooLarge:
				return 431;
			case PartKind::BodyTooLarge:
				return 413;
			default:
				return 0;
			}
		}

		/// @returns The next part; none on a timeout.
		aio::Task<std::optional<Part>> readPartWithin(kj::Timer& _timer, http::HttpConnection& _connection, Millis _ms)
		{
			std::optional<Part> part;
			kj::Promise<void> read = _connection.next().take().then([&part](Part&& _part) {
				part = std::move(_part);
			});
			co_await read.exclusiveJoin(_timer.afterDelay(_ms * kj::MILLISECONDS));
			co_return part;
		}

		RequestLimits limitsOf(const GatewayState& _state)
		{
			return nullptr == _state.catalog ? RequestLimits() : _state.catalog->catalog.limits;
		}

		/// Waits for the head of the next request.
		aio::Task<ReadResult> readHead(GatewayState& _state, http::HttpConnection& _connection)
		{
			const RequestLimits limits = limitsOf(_state);
			const Millis idleSince = nowMs();
			std::optional<Millis> startedAt;
			ReadResult result;
			while (true)
			{
				const std::optional<Part> part = co_await readPartWithin(_state.loop.timer, _connection, kPollIntervalMs);
				const Millis now = nowMs();
				if (part)
				{
					if (PartKind::Head == part->kind)
					{
						result.request = ReceivedRequest{part->request, "", now};
					}
					result.status = statusOf(part->kind);
					result.reason = "unreadable_request";
					co_return result;
				}
				if (_connection.isMidMessage() && !startedAt)
				{
					startedAt = now;
				}
				if (startedAt && now - *startedAt > limits.headerTimeoutMs)
				{
					result.status = kRequestTimeout;
					result.reason = "head_too_slow";
					co_return result;
				}
				if (!startedAt && now - idleSince > limits.idleTimeoutMs)
				{
					co_return result;
				}
			}
		}

		bool wantsContinue(const http::RequestHead& _head)
		{
			return http::equalHeaderNames(_head.headers.find("Expect").value_or(""), "100-continue");
		}

		/// Reads the body of a request whose head was read.
		aio::Task<ReadResult> readBody(GatewayState& _state, http::HttpConnection& _connection, ReceivedRequest _request)
		{
			const Millis idle = limitsOf(_state).idleTimeoutMs;
			ReadResult result;
			if (wantsContinue(_request.head))
			{
				std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
				co_await _connection.write(std::move(interim));
			}
			while (true)
			{
				const std::optional<Part> part = co_await readPartWithin(_state.loop.timer, _connection, idle);
				if (!part)
				{
					result.status = kRequestTimeout;
					result.reason = "body_too_slow";
					co_return result;
				}
				if (PartKind::End == part->kind)
				{
					result.request = std::move(_request);
					co_return result;
				}
				if (PartKind::Body != part->kind)
				{
					result.status = statusOf(part->kind);
					result.reason = "unreadable_body";
					co_return result;
				}
				_request.body += part->body;
			}
		}

		aio::Task<void> rejectUnreadable(GatewayState& _state, http::HttpConnection& _connection, ReadResult _result)
		{
			if (0 == _result.status)
			{
				co_return;
			}
			_state.counters.requests[std::size_t(Ending::Rejected)]->Increment();
			logInfo("request_unread", {{"status", _result.status}, {"reason", _result.reason}});
			http::ResponseHead head = _state.codec.encodeRefusal({}, {_result.status, std::nullopt, _result.reason});
			head.keepAlive = false;
			std::string bytes = http::serialize(head, _result.reason + "\n");
			co_await _connection.write(std::move(bytes));
		}
	} // namespace

	CallerServer::CallerServer(GatewayState& _state, const std::string& _address)
	    : state(_state)
	    , idleClosed(nullptr)
	    , listener(
	          _state.loop, _address, [this](std::unique_ptr<http::HttpConnection> _connection) {
		          return this->serve(std::move(_connection));
	          },
	          descriptorLimit() / kDescriptorsPerCaller)
	{
		auto paf = kj::newPromiseAndFulfiller<void>();
		this->idleCloser = kj::mv(paf.fulfiller);
		this->idleClosed = paf.promise.fork();
	}

	void CallerServer::closeIdleConnections()
	{
		this->idleCloser->fulfill();
	}

	unsigned CallerServer::port()
	{
		return this->listener.port();
	}

	aio::Task<void> CallerServer::serve(std::unique_ptr<http::HttpConnection> _connection)
	{
		while (true)
		{
			const RequestLimits limits = limitsOf(this->state);
			_connection->setLimits({limits.headerBytes, limits.bodyBytes});
			kj::Promise<ReadResult> reading = readHead(this->state, *_connection).take();
			kj::Promise<ReadResult> closing = this->idleClosed.addBranch().then([] {
				return ReadResult();
			});
			ReadResult result = co_await reading.exclusiveJoin(kj::mv(closing));
			if (result.request)
			{
				ReceivedRequest request = std::move(*result.request);
				result = co_await readBody(this->state, *_connection, std::move(request));
			}
			if (!result.request)
			{
				co_await rejectUnreadable(this->state, *_connection, result);
				co_return;
			}
			ReceivedRequest request = std::move(*result.request);
			const AfterRequest after = co_await runRequest(this->state, *_connection, std::move(request));
			if (AfterRequest::Close == after)
			{
				co_return;
			}
		}
	}
} // namespace archdyke::gateway
