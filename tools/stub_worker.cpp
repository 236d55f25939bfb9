/// Stand-in for one upstream of the platform: a plain service and a streaming engine, and their
/// troubles.
///
/// Options: {"address"?, "id"}. A request's query says what to do, "do=...": ok, shed, fail, hang,
/// cut, garbage, foreign, unsigned, encoded, unframed, stream, break (a stream that stops within
/// its 4th event unless it is resumed), crash (the process ends as it begins to run it, a stream after
/// two events), skip (a stream that leaves out its 3rd event), jump (the
/// same, all events in one piece). "restS=N": what is shed is told to send nothing for N s.
/// "leaving=1": the answer says that the upstream is about to end. "only=ID":
/// just the upstream of that id does so, the others answer as usual. GET /record tells, by request
/// id, how often each ran, how often its caller left, how often it was turned away and when it last came. POST /control {"mode": "up" | "refuse"},
/// {"restS": N}: for N s all are turned away and told to send nothing for what is left; {"leaving": true}: each
/// answer says from now on that the upstream is about to end.
#include <cstdlib>
#include <fmt/format.h>
#include <map>

#include "base/address.h"
#include "base/log.h"
#include "base/process.h"
#include "http/http_listener.h"
#include "stub_main.h"

namespace archdyke::stub
{
	namespace
	{
		using http::Part;
		using http::PartKind;

		constexpr std::uint64_t kEvents = 12;
		constexpr Millis kEventMs = 15;
		constexpr Millis kHangMs = 30'000;
		constexpr Millis kCrashMs = 20; ///< From the begin of a run that ends the process.
		constexpr int kCrashed = 70;    ///< Exit code then.
		constexpr std::uint64_t kEventsBeforeCrash = 2;

		struct Call
		{
			http::RequestHead head;
			std::string body;
		};

		struct Record
		{
			int runs = 0;
			int left = 0;
			int turnedAway = 0;
			Millis cameAt = 0;
			std::string organisation;
			std::string resumedAfter;
		};

		std::string queryField(const std::string& _target, const std::string& _name)
		{
			const std::string mark = _name + "=";
			const std::size_t at = _target.find(mark, _target.find('?') + 1);
			if (std::string::npos == _target.find('?') || std::string::npos == at)
			{
				return "";
			}
			const std::size_t begin = at + mark.size();
			return _target.substr(begin, _target.find('&', begin) - begin);
		}

		class Worker
		{
		public:
			Worker(kj::AsyncIoContext& _io, std::string _id)
			    : loop{_io.provider->getNetwork(), _io.provider->getTimer()}
			    , id(std::move(_id))
			{
			}

			aio::Task<void> serve(std::unique_ptr<http::HttpConnection> _connection)
			{
				while (true)
				{
					Call call;
					bool whole = false;
					while (!whole)
					{
						Part part = co_await _connection->next();
						if (PartKind::Head == part.kind)
						{
							call.head = std::move(part.request);
						}
						else if (PartKind::Body == part.kind)
						{
							call.body += part.body;
						}
						else if (PartKind::End == part.kind)
						{
							whole = true;
						}
						else
						{
							co_return;
						}
					}
					const bool keep = co_await this->answer(*_connection, call);
					if (!keep)
					{
						co_return;
					}
				}
			}

			http::LoopContext loop;

		private:
			std::string headerOf(const Call& _call, const char* _name) const
			{
				return std::string(_call.head.headers.find(_name).value_or(""));
			}

			http::ResponseHead headFor(const Call& _call, int _status) const
			{
				http::ResponseHead head{_status, {}, true};
				head.headers.add("X-Archdyke-Request-Id", this->headerOf(_call, "X-Archdyke-Request-Id"));
				head.headers.add("X-Archdyke-Server-Stamp", "stamp-" + this->id);
				if (this->leaving || ("1" == queryField(_call.head.target, "leaving") && this->isMeant(_call)))
				{
					head.headers.add("Server-Leaving", "1");
				}
				return head;
			}

			bool isMeant(const Call& _call) const
			{
				const std::string only = queryField(_call.head.target, "only");
				return only.empty() || only == this->id;
			}

			/// A line a run, so that runs are known also when this process is killed.
			void printRun(const Call& _call) const
			{
				fmt::print("run request={} at={} leaving={} organisation={}\n", this->headerOf(_call, "X-Archdyke-Request-Id"), nowMs(), this->leaving ? 1 : 0, this->headerOf(_call, "X-Archdyke-Tenant"));
				std::fflush(stdout);
			}

			/// Turns a request away, with the time in seconds for which nothing is wanted, if any.
			http::ResponseHead turnAway(const Call& _call, const std::string& _restS) const
			{
				http::ResponseHead head = this->headFor(_call, 503);
				head.headers.add("X-Archdyke-Not-Executed", "1");
				if (!_restS.empty())
				{
					head.headers.add("Retry-After", _restS);
				}
				fmt::print("turned_away request={} at={} rest={}\n", this->headerOf(_call, "X-Archdyke-Request-Id"), nowMs(), _restS);
				std::fflush(stdout);
				return head;
			}

			/// @returns What a call that is turned away is told of the time for which nothing is wanted.
			std::string restTold(const Call& _call) const
			{
				const Millis left = this->restUntil - nowMs();
				return 0 < left ? fmt::format("{:.3f}", double(left) / 1'000.0) : queryField(_call.head.target, "restS");
			}

			void control(const nlohmann::json& _order)
			{
				this->refuses = "refuse" == _order.value("mode", this->refuses ? "refuse" : "up");
				this->restUntil = _order.contains("restS") ? nowMs() + Millis(1'000.0 * _order["restS"].get<double>()) : this->restUntil;
				this->leaving = _order.value("leaving", this->leaving);
			}

			std::string recordText() const
			{
				nlohmann::json records = nlohmann::json::object();
				for (const auto& [request, record] : this->records)
				{
					records[request] = {{"runs", record.runs}, {"left", record.left}, {"turnedAway", record.turnedAway}, {"cameAt", record.cameAt}, {"organisation", record.organisation}, {"resumedAfter", record.resumedAfter}};
				}
				return records.dump();
			}

			/// @returns Whether the connection goes on.
			aio::Task<bool> answer(http::HttpConnection& _connection, const Call& _call)
			{
				std::string bytes;
				if ("/record" == _call.head.target)
				{
					bytes = http::serialize(http::ResponseHead{200, {}, true}, this->recordText());
					co_await _connection.write(std::move(bytes));
					co_return true;
				}
				if ("/control" == _call.head.target)
				{
					this->control(nlohmann::json::parse(_call.body));
					bytes = http::serialize(http::ResponseHead{200, {}, true}, "");
					co_await _connection.write(std::move(bytes));
					co_return true;
				}
				const std::string expected = this->headerOf(_call, "X-Archdyke-Expect-Instance");
				const std::string wanted = queryField(_call.head.target, "do");
				const std::string what = this->isMeant(_call) ? wanted : ("break" == wanted || "skip" == wanted || "jump" == wanted || "stream" == wanted ? "stream" : "ok");
				if (!expected.empty() && expected != this->id)
				{
					bytes = http::serialize(this->headFor(_call, 421), "");
					co_await _connection.write(std::move(bytes));
					co_return true;
				}
				Record& record = this->records[this->headerOf(_call, "X-Archdyke-Request-Id")];
				record.cameAt = nowMs();
				if (this->refuses || "shed" == what || nowMs() < this->restUntil)
				{
					record.turnedAway += 1;
					bytes = http::serialize(this->turnAway(_call, this->restTold(_call)), "");
					co_await _connection.write(std::move(bytes));
					co_return true;
				}
				record.runs += 1;
				this->printRun(_call);
				record.organisation = this->headerOf(_call, "X-Archdyke-Tenant");
				record.resumedAfter = this->headerOf(_call, "Last-Event-Id");
				const bool crashes = "crash" == what;
				if (crashes && !_call.head.target.starts_with("/stream/"))
				{
					co_await this->loop.timer.afterDelay(kCrashMs * kj::MILLISECONDS);
					std::_Exit(kCrashed);
				}
				if ("stream" == what || "break" == what || "skip" == what || "jump" == what || crashes)
				{
					co_return co_await this->stream(_connection, _call, what, record);
				}
				co_return co_await this->plain(_connection, _call, what, record);
			}

			aio::Task<bool> plain(http::HttpConnection& _connection, const Call& _call, std::string _what, Record& _record)
			{
				const std::string body = _call.head.method + " " + _call.head.target + " " + _call.body;
				std::string bytes = http::serialize(this->headFor(_call, 200), body);
				bool keep = true;
				if ("hang" == _what)
				{
					co_await this->loop.timer.afterDelay(kHangMs * kj::MILLISECONDS).exclusiveJoin(_connection.whenDisconnected());
					_record.left += _connection.isDisconnected() ? 1 : 0;
					co_return false;
				}
				if ("fail" == _what)
				{
					bytes = http::serialize(this->headFor(_call, 500), "failed");
				}
				else if ("cut" == _what)
				{
					bytes.resize(bytes.size() - 3);
					keep = false;
				}
				else if ("garbage" == _what)
				{
					bytes = "\x01\x02 this is no answer\r\n\r\n";
					keep = false;
				}
				else if ("foreign" == _what)
				{
					http::ResponseHead foreign{200, {}, true};
					foreign.headers.add("X-Archdyke-Request-Id", "another");
					foreign.headers.add("X-Archdyke-Server-Stamp", "stamp-" + this->id);
					bytes = http::serialize(foreign, "another's answer") + bytes;
				}
				else if ("unsigned" == _what)
				{
					http::ResponseHead head{200, {}, true};
					head.headers.add("X-Archdyke-Request-Id", this->headerOf(_call, "X-Archdyke-Request-Id"));
					bytes = http::serialize(head, body);
				}
				else if ("encoded" == _what)
				{
					http::ResponseHead head = this->headFor(_call, 200);
					head.headers.add("Content-Encoding", "br");
					bytes = http::serialize(head, body);
				}
				else if ("unframed" == _what)
				{
					bytes = fmt::format("HTTP/1.1 200 OK\r\nX-Archdyke-Request-Id: {}\r\nX-Archdyke-Server-Stamp: stamp-{}\r\n\r\n{}", this->headerOf(_call, "X-Archdyke-Request-Id"), this->id, body);
					keep = false;
				}
				co_await _connection.write(std::move(bytes));
				co_return keep;
			}

			aio::Task<bool> stream(http::HttpConnection& _connection, const Call& _call, std::string _what, Record& _record)
			{
				http::ResponseHead head = this->headFor(_call, 200);
				head.headers.add("Content-Type", "text/event-stream");
				std::string bytes = http::serializeChunkedHead(head);
				co_await _connection.write(std::move(bytes));
				if ("jump" == _what)
				{
					std::string piece = http::serializeChunk("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 4\ndata: piece 4\n\n");
					co_await _connection.write(std::move(piece));
					co_return false;
				}
				const std::optional<std::int64_t> after = http::parseInteger(_record.resumedAfter);
				for (std::uint64_t event = after ? std::uint64_t(*after) + 1 : 1; event <= kEvents; ++event)
				{
					co_await this->loop.timer.afterDelay(kEventMs * kj::MILLISECONDS);
					if (_connection.isDisconnected())
					{
						_record.left += 1;
						co_return false;
					}
					if ("crash" == _what && kEventsBeforeCrash < event)
					{
						std::_Exit(kCrashed);
					}
					if ("skip" == _what && 3 == event)
					{
						continue;
					}
					std::string text = fmt::format("id: {}\ndata: piece {}\n\n", event, event);
					const bool breaks = "break" == _what && !after && 4 == event;
					text.resize(breaks ? text.size() / 2 : text.size());
					std::string chunk = http::serializeChunk(text);
					co_await _connection.write(std::move(chunk));
					if (breaks)
					{
						co_return false;
					}
				}
				std::string last(http::kLastChunk);
				co_await _connection.write(std::move(last));
				co_return true;
			}

			std::string id;
			std::map<std::string, Record> records;
			bool refuses = false;
			bool leaving = false;
			Millis restUntil = 0;
		};
	} // namespace

	void runStub(const nlohmann::json& _options)
	{
		kj::AsyncIoContext io = kj::setupAsyncIo();
		Worker worker(io, _options.value("id", "worker"));
		const std::string address = _options.value("address", "127.0.0.1:0");
		http::Listener listener(worker.loop, address, [&worker](std::unique_ptr<http::HttpConnection> _connection) {
			return worker.serve(std::move(_connection));
		});
		logInfo("listening", {{"http", fmt::format("{}:{}", parseAddress(address).host, listener.port())}});
		kj::NEVER_DONE.wait(io.waitScope);
	}
} // namespace archdyke::stub
