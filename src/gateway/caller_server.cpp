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

		/// After a refusal what its caller still sends is read for this long, ms, so that the caller sees the refusal.
		constexpr Millis kCloseMs = 1'000;
		/// Retry time for callers whose requests can't be held, ms: a random time in this range, so that a crowd doesn't return at once.
		constexpr Millis kMinMemoryRetryMs = 1'000;
		constexpr Millis kMaxMemoryRetryMs = 3'000;
		/// Assumed time until a caller whose request wasn't read gives up, ms.
		constexpr Millis kUnknownPatienceMs = 5'000;

		constexpr int kRequestTimeout = 408;

		/// @returns The refusal of a request that isn't read because memory is short.
		ReadResult memoryShort(GatewayState& _state)
		{
			ReadResult result;
			result.status = kUnavailable;
			result.reason = "memory_short";
			result.comeBackMs = kMinMemoryRetryMs + Millis(randomBelow(_state.random, std::uint64_t(kMaxMemoryRetryMs - kMinMemoryRetryMs)));
			_state.counters.memoryRefusals.Increment();
			return result;
		}

		/// @returns The refusal of a request that isn't read because the gateway is stopping.
		ReadResult refuseLeaving(GatewayState& _state)
		{
			ReadResult result;
			result.status = kUnavailable;
			result.reason = std::string(toString(RefusalCause::Leaving));
			result.comeBackMs = chooseRetryDelayMs(RefusalCause::Leaving, std::nullopt, kUnknownPatienceMs, _state.random);
			return result;
		}

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
						result.request = ReceivedRequest{part->request, "", now, part->headBytes};
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
		aio::Task<ReadResult> readBody(GatewayState& _state, http::HttpConnection& _connection, ReceivedRequest _request, http::MemoryCharge& _charge)
		{
			const Millis idle = limitsOf(_state).idleTimeoutMs;
			const std::size_t announced = std::size_t(std::max<std::int64_t>(0, http::parseInteger(_request.head.headers.find("Content-Length").value_or("0")).value_or(0)));
			ReadResult result;
			if (!_state.resources.canHold(announced))
			{
				co_return memoryShort(_state);
			}
			_request.body.reserve(announced);
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
				_charge.set(memoryOf(_request) + part->body.size());
				appendToBody(_request.body, part->body);
			}
		}

		/// Tells a caller that its request wasn't read, and closes the connection.
		aio::Task<void> rejectUnreadable(GatewayState& _state, http::HttpConnection& _connection, ReadResult _result)
		{
			if (0 == _result.status)
			{
				co_return;
			}
			_state.counters.requests[std::size_t(endingOf(_result.status))]->Increment();
			logInfo("request_unread", {{"status", _result.status}, {"reason", _result.reason}});
			http::ResponseHead head = _state.codec.encodeRefusal({}, {_result.status, _result.comeBackMs, _result.reason});
			head.keepAlive = false;
			std::string bytes = http::serialize(head, _result.reason + "\n");
			co_await _connection.write(std::move(bytes)).take().exclusiveJoin(_state.loop.timer.afterDelay(kCloseMs * kj::MILLISECONDS));
			co_await _connection.closeGracefully(_state.loop.timer, limitsOf(_state).bodyBytes, kCloseMs);
		}
	} // namespace

	CallerServer::CallerServer(GatewayState& _state, const std::string& _address)
	    : state(_state)
	    , stopped(nullptr)
	    , listener(
	          _state.loop, _address, [this](std::unique_ptr<http::HttpConnection> _connection) {
		          return this->serve(std::move(_connection));
	          },
	          &_state.resources, http::callerLimits(descriptorLimit(), _state.resources))
	{
		auto paf = kj::newPromiseAndFulfiller<void>();
		this->stopFulfiller = kj::mv(paf.fulfiller);
		this->stopped = paf.promise.fork();
	}

	void CallerServer::stopReading()
	{
		this->stopFulfiller->fulfill();
	}

	std::size_t CallerServer::rejecting() const
	{
		return this->rejectingCount;
	}

	unsigned CallerServer::port()
	{
		return this->listener.port();
	}

	aio::Task<void> CallerServer::serve(std::unique_ptr<http::HttpConnection> _connection)
	{
		for (bool isNew = true; true; isNew = false)
		{
			http::MemoryCharge charge(_connection->chargedTo());
			ReadResult result = co_await this->readRequest(*_connection, charge, isNew);
			if (!result.request)
			{
				charge.set(0);
				this->rejectingCount += 1;
				const auto rejected = kj::defer([this] {
					this->rejectingCount -= 1;
				});
				co_await rejectUnreadable(this->state, *_connection, std::move(result));
				co_return;
			}
			ReceivedRequest request = std::move(*result.request);
			charge.set(memoryOf(request));
			_connection->setHeldFor(HeldFor::Run);
			const AfterRequest after = co_await runRequest(this->state, *_connection, std::move(request));
			if (AfterRequest::Close == after)
			{
				co_return;
			}
			_connection->setHeldFor(HeldFor::Idle);
		}
	}

	aio::Task<ReadResult> CallerServer::readRequest(http::HttpConnection& _connection, http::MemoryCharge& _charge, bool _isNew)
	{
		const RequestLimits limits = limitsOf(this->state);
		_connection.setLimits({limits.headerBytes, limits.bodyBytes});
		kj::Promise<ReadResult> reading = readHead(this->state, _connection).take();
		// Whoever connects during the stop is told so once the head of a request has come.
		const bool waitsForHead = _isNew && !mayRead(this->state.stop, nowMs());
		kj::Promise<ReadResult> closing = waitsForHead ? kj::Promise<ReadResult>(kj::NEVER_DONE) : this->whenStopped(_connection);
		ReadResult result = co_await reading.exclusiveJoin(kj::mv(closing)).exclusiveJoin(this->whenMemoryShort(_connection));
		if (result.request && !mayRead(this->state.stop, nowMs()))
		{
			result = refuseLeaving(this->state);
		}
		if (result.request)
		{
			_charge.set(memoryOf(*result.request));
			_connection.setHeldFor(HeldFor::Request);
			ReceivedRequest request = std::move(*result.request);
			kj::Promise<ReadResult> body = readBody(this->state, _connection, std::move(request), _charge).take();
			kj::Promise<ReadResult> stopping = this->stopped.addBranch().then([this] {
				return refuseLeaving(this->state);
			});
			result = co_await body.exclusiveJoin(kj::mv(stopping)).exclusiveJoin(this->whenMemoryShort(_connection));
		}
		co_return result;
	}

	kj::Promise<ReadResult> CallerServer::whenStopped(http::HttpConnection& _connection)
	{
		return this->stopped.addBranch().then([this, &_connection] {
			return _connection.isDisconnected() || _connection.isQuiet() ? ReadResult() : refuseLeaving(this->state);
		});
	}

	kj::Promise<ReadResult> CallerServer::whenMemoryShort(http::HttpConnection& _connection)
	{
		return _connection.whenLosingMemory().then([this, &_connection] {
			return _connection.isMidMessage() || _connection.hasUnread() ? memoryShort(this->state) : ReadResult();
		});
	}
} // namespace archdyke::gateway
