#include "http/exchange.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke::http
{
	namespace
	{
		/// How long a connection is kept for other calls, ms. Below the time after which servers close idle connections.
		constexpr Millis kIdleMs = 4'000;
		/// Maximum number of responses to other calls that one call skips. A sound server sends one at most.
		constexpr int kMaxForeignResponses = 4;

		/// Number of responses of a connection with which a later one is compared.
		constexpr std::size_t kMaxRecentResponses = 16;
		constexpr int kMinSuccess = 200;
		constexpr int kMaxSuccess = 299;

		/// What was received for a call on one connection.
		struct Reading
		{
			FullResponse response;
			std::string_view doubt; ///< Why nothing received can be attributed to the call; empty if the response can.
		};

		/// @returns The kind of the part that ended the connection before a response was complete; End if one is.
		aio::Task<PartKind> readFullResponse(HttpConnection& _connection, FullResponse& _response)
		{
			_response = {};
			while (true)
			{
				Part part = co_await _connection.next();
				switch (part.kind)
				{
				case PartKind::Head:
					_response.head = std::move(part.response);
					break;
				case PartKind::Body:
					_response.body += part.body;
					break;
				default:
					co_return part.kind;
				}
			}
		}

		enum class Owner
		{
			ThisCall,
			OtherCall,
			Unknown
		};

		/// @returns Whose response it is by the id that it gives back.
		Owner ownerById(const ResponseHead& _head, const std::string& _idHeader, const std::string& _id)
		{
			Owner owner = Owner::Unknown;
			for (const Header& header : _head.headers.lines)
			{
				if (_idHeader.empty() || !equalHeaderNames(header.name, _idHeader))
				{
					continue;
				}
				const Owner stated = header.value == _id ? Owner::ThisCall : Owner::OtherCall;
				owner = Owner::Unknown == owner ? stated : Owner::OtherCall; // a second id is of another response
			}
			return owner;
		}

		bool isSuccess(const FullResponse& _response)
		{
			return kMinSuccess <= _response.head.status && _response.head.status <= kMaxSuccess;
		}

		/// @returns Hash of what a server sends again in a copy, however it writes the head.
		std::size_t hashOf(const FullResponse& _response)
		{
			return std::hash<std::string>()(fmt::format("{} {}", _response.head.status, _response.body));
		}

		/// Why a response is in doubt that may be a copy of an earlier one.
		constexpr std::string_view kRepeated = "equals_an_earlier_response";

		/// @returns Why a response without an id can't be attributed; empty if it can.
		std::string_view doubtAbout(const FullResponse& _response, const Lease& _lease, const Call& _call)
		{
			const bool fits = !isSuccess(_response) || !_call.fits || _call.fits(_response);
			if (!_lease.reused)
			{
				return "";
			}
			const bool repeated = _lease.responses.end() != std::find(_lease.responses.begin(), _lease.responses.end(), hashOf(_response));
			return repeated ? kRepeated : fits ? ""
			                                   : "unfit_response";
		}

		/// Waits for bytes behind a response that equals an earlier one.
		/// @returns Whether there are none: the response then is no copy that came before the one to this call.
		aio::Task<bool> staysQuiet(kj::Timer& _timer, const HttpConnection& _connection, Millis _waitMs)
		{
			co_await _timer.afterDelay(_waitMs * kj::MILLISECONDS);
			co_return _connection.isQuiet();
		}

		aio::Task<Reading> readOwn(kj::Timer& _timer, Lease& _lease, const Call& _call, const std::string& _id)
		{
			Reading reading;
			for (int skipped = 0; skipped <= kMaxForeignResponses; ++skipped)
			{
				const PartKind how = co_await readFullResponse(*_lease.connection, reading.response);
				if (PartKind::End != how)
				{
					reading.doubt = toString(how);
					co_return reading;
				}
				const Owner owner = ownerById(reading.response.head, _call.idHeader, _id);
				if (Owner::OtherCall != owner)
				{
					const std::string_view doubt = doubtAbout(reading.response, _lease, _call); // decodes the response, too
					reading.doubt = Owner::ThisCall == owner ? "" : doubt;
					if (kRepeated != reading.doubt || 0 == _call.repeatWaitMs)
					{
						co_return reading;
					}
					const bool quiet = co_await staysQuiet(_timer, *_lease.connection, _call.repeatWaitMs);
					if (quiet)
					{
						reading.doubt = "";
						co_return reading;
					}
				}
				logWarning("foreign_response", {{"address", _lease.address}, {"connection", _lease.connection->number()}, {"target", _call.head.target}, {"status", reading.response.head.status}});
			}
			reading.doubt = "too_many_foreign_responses";
			co_return reading;
		}

		/// Makes the call on a connection.
		aio::Task<Reading> callOn(kj::Timer& _timer, Lease& _lease, const Call& _call, const std::string& _id)
		{
			Reading reading;
			if (!_lease.connection->isQuiet())
			{
				reading.doubt = "unusable_before_the_request";
				co_return reading;
			}
			try
			{
				std::string bytes = serialize(_call.head, _call.body);
				co_await _lease.connection->write(std::move(bytes));
			}
			catch (const kj::Exception& error)
			{
				if (!_lease.reused)
				{
					throw;
				}
				reading.doubt = "write_failed";
			}
			if (reading.doubt.empty())
			{
				reading = co_await readOwn(_timer, _lease, _call, _id);
			}
			if (!reading.doubt.empty())
			{
				logWarning("response_in_doubt", {{"address", _lease.address}, {"connection", _lease.connection->number()}, {"reused", _lease.reused}, {"method", _call.head.method}, {"target", _call.head.target}, {"reason", reading.doubt}});
			}
			co_return reading;
		}

		aio::Task<FullResponse> exchangeUntimed(ConnectionPool& _pool, kj::Timer& _timer, Call _call)
		{
			ConnectOptions options;
			options.connectTimeoutMs = std::min(options.connectTimeoutMs, _call.timeoutMs);
			options.limits = _call.limits;
			options.reuse = _call.reuse;
			if (!_call.idHeader.empty())
			{
				options.tag = toHex(randomId());
				_call.head.headers.add(_call.idHeader, options.tag);
			}
			std::string address = _call.address;
			Lease lease = co_await _pool.take(std::move(address), options);
			Reading reading = co_await callOn(_timer, lease, _call, options.tag);
			if (!reading.doubt.empty() && lease.reused && "GET" == _call.head.method)
			{
				std::string sameAddress = _call.address;
				lease = co_await _pool.connect(std::move(sameAddress), options);
				reading = co_await callOn(_timer, lease, _call, options.tag);
			}
			if (!reading.doubt.empty())
			{
				const std::string reason = fmt::format("no response that belongs to this call: {}", reading.doubt);
				kj::throwFatalException(kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(reason.c_str())));
			}
			// A failure ends its connection, so that the next one there is no copy of it.
			if (_call.reuse && reading.response.head.keepAlive && isSuccess(reading.response))
			{
				std::erase(lease.responses, hashOf(reading.response));
				lease.responses.push_back(hashOf(reading.response));
				if (kMaxRecentResponses < lease.responses.size())
				{
					lease.responses.pop_front();
				}
				_pool.returnToPool(std::move(lease), kIdleMs);
			}
			co_return std::move(reading.response);
		}
	} // namespace

	kj::Promise<FullResponse> exchange(ConnectionPool& _pool, kj::Timer& _timer, Call _call)
	{
		const Millis timeoutMs = _call.timeoutMs;
		return _timer.timeoutAfter(timeoutMs * kj::MILLISECONDS, exchangeUntimed(_pool, _timer, std::move(_call)).take());
	}
} // namespace archdyke::http
