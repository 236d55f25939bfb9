/// Stub of one upstream of the platform: a plain service and a streaming engine, with injected faults.
///
/// Options: {"address"?, "id", "crashParts"?}. A request whose prompt contains one of the parts in crashParts, except as its
/// last part, crashes the process as do=crash does. The query of a request selects its behaviour otherwise:
///   do=...     ok, shed, fail, hang, cut, garbage, foreign, unsigned, encoded, unframed, stream,
///              break (a stream that stops within its 4th event unless it is resumed), tear (likewise, without
///              chunks and without a reset, as unframed streams end), crash (the
///              process ends when the request starts to run, a stream after two events), skip (a
///              stream without its 3rd event), jump (likewise, all events in one chunk)
///   do=early   an answer without length while the request's body, which is long, isn't read to its end; cut=1: half of it, and a reset
///              endMs=N later; else all, and a FIN
///   do=endless-KIND  an answer without end, of a kind that stub_endless.h names; pace=byte sends it byte by byte
///   restS=N    the response to a shed request asks for a back-off of N s
///   leaving=1  the response says that the upstream is about to stop
///   foreignLeaving=1  the answer to another request (do=foreign) says that the upstream is about to stop
///   afterMs=N  plain answers, and the first event of a stream that isn't resumed, come N ms after the start of the run
///   behind=N   behind the whole answer, its first N bytes come again on the connection (plain answers and rejections)
///   behindWhen=now|next  these bytes come with the answer, or when the next request has arrived on that connection
///   only=ID    only the upstream with this id does the above, the others respond normally
/// GET /record returns, by request id, the number of runs, of caller disconnects and of rejections,
/// and the time of the last arrival.
/// POST /control {"mode": "up" | "refuse"}; {"restS": N}: rejects all requests for N s and asks for a
/// back-off of the remaining time; {"leaving": true}: all further responses say that the upstream is
/// about to stop; {"crashParts": [ID]}: as the option; {"limitPerS": N}: all further responses name a limit of N requests per second, 0 ends it;
/// {"stutter": {"until": MS, "seed": N, "share"?, "failedShare"?, "rejectedShare"?, "withinLength"?}}: until this time of the machine's
/// steady clock a share of the responses is disturbed as StutterKind says, and others are failures and rejections.
/// Each stamp tells whether status and body belong together and to the request, see server_stamp.h.
#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <map>
#include <utility>

#include "aio/loop.h"
#include "archdyke/random.h"
#include "base/address.h"
#include "base/log.h"
#include "base/process.h"
#include "http/http_listener.h"
#include "server_stamp.h"
#include "stub_early.h"
#include "stub_endless.h"
#include "stub_main.h"
#include "stub_stutter.h"

namespace archdyke::stub
{
	namespace
	{
		using http::Part;
		using http::PartKind;

		constexpr std::uint64_t kStreamEvents = 12;
		constexpr Millis kEventIntervalMs = 15;
		constexpr Millis kMaxHangMs = 30'000;
		constexpr Millis kCrashDelayMs = 20; ///< From the start of a run that crashes the process.
		constexpr int kCrashExitCode = 70;   ///< Exit code after such a run.
		constexpr std::uint64_t kEventsBeforeCrash = 2;

		struct Call
		{
			http::RequestHead head;
			std::string body;
			OrderedWriter* writer = nullptr;
			Stutter stutter;
			StutterAnswer answer = StutterAnswer::Own;
		};

		struct Record
		{
			int runs = 0;
			int disconnects = 0;
			int rejections = 0;
			Millis lastArrivalAt = 0;
			std::string organisation;
			std::string resumedAfter;
		};

		std::string queryField(const std::string& _target, const std::string& _name)
		{
			const std::string prefix = _name + "=";
			const std::size_t position = _target.find(prefix, _target.find('?') + 1);
			if (std::string::npos == _target.find('?') || std::string::npos == position)
			{
				return "";
			}
			const std::size_t begin = position + prefix.size();
			return _target.substr(begin, _target.find('&', begin) - begin);
		}

		class Worker
		{
		public:
			Worker(kj::AsyncIoContext& _io, std::string _id, std::vector<std::string> _crashParts)
			    : loop{_io.provider->getNetwork(), _io.provider->getTimer()}
			    , id(std::move(_id))
			    , crashParts(std::move(_crashParts))
			{
			}

			aio::Task<void> serve(std::unique_ptr<http::HttpConnection> _connection)
			{
				OrderedWriter writer(*_connection, this->loop.timer);
				while (true)
				{
					Call call;
					call.writer = &writer;
					bool complete = false;
					while (!complete)
					{
						Part part = co_await _connection->next();
						if (PartKind::Head == part.kind)
						{
							call.head = std::move(part.request);
							if (this->answersEarly(call))
							{
								co_await this->respondEarly(std::move(_connection), call);
								co_return;
							}
						}
						else if (PartKind::Body == part.kind)
						{
							call.body += part.body;
						}
						else if (PartKind::End == part.kind)
						{
							complete = true;
						}
						else
						{
							co_return;
						}
					}
					const bool isPlatformCall = "/record" == call.head.target || "/control" == call.head.target;
					if (!isPlatformCall)
					{
						this->disturb(call);
					}
					const bool keepOpen = co_await this->respond(*_connection, call);
					if (!keepOpen)
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

			std::string stampFor(const Call& _call, int _status, const std::string& _body) const
			{
				return makeStamp(this->id, this->headerOf(_call, "X-Archdyke-Request-Id"), _status, _body);
			}

			/// @param[in] _body The complete body, which the stamp covers.
			http::ResponseHead headFor(const Call& _call, int _status, const std::string& _body) const
			{
				http::ResponseHead head{_status, {}, true};
				head.headers.add("X-Archdyke-Request-Id", this->headerOf(_call, "X-Archdyke-Request-Id"));
				head.headers.add("X-Archdyke-Server-Stamp", this->stampFor(_call, _status, _body));
				if (this->leaving || ("1" == queryField(_call.head.target, "leaving") && this->isAddressee(_call)))
				{
					head.headers.add("Server-Leaving", "1");
				}
				if (0.0 < this->limitPerS)
				{
					head.headers.add("Server-Limit", fmt::format("{}", this->limitPerS));
				}
				return head;
			}

			bool isAddressee(const Call& _call) const
			{
				const std::string only = queryField(_call.head.target, "only");
				return only.empty() || only == this->id;
			}

			/// Prints one line per run, so that runs are known even when this process is killed.
			void printRun(const Call& _call) const
			{
				fmt::print("run request={} at={} leaving={} limit={} organisation={} stutter={} answer={}\n", this->headerOf(_call, "X-Archdyke-Request-Id"), nowMs(), this->leaving ? 1 : 0, this->limitPerS, this->headerOf(_call, "X-Archdyke-Tenant"), int(_call.stutter.kind), int(_call.answer));
				std::fflush(stdout);
			}

			/// Returns the response head of a rejected request, with the back-off to ask for in seconds, if any.
			http::ResponseHead rejectedHead(const Call& _call, const std::string& _backOffS) const
			{
				http::ResponseHead head = this->headFor(_call, 503, "");
				// First, so that a head which is cut behind it states it.
				head.headers.lines.insert(head.headers.lines.begin(), http::Header{"X-Archdyke-Not-Executed", "1"});
				if (!_backOffS.empty())
				{
					head.headers.add("Retry-After", _backOffS);
				}
				return head;
			}

			void printRejection(const Call& _call, const std::string& _backOffS) const
			{
				fmt::print("turned_away request={} at={} rest={}\n", this->headerOf(_call, "X-Archdyke-Request-Id"), nowMs(), _backOffS);
				std::fflush(stdout);
			}

			/// @returns The back-off that the response to a rejected call asks for, s; empty for none.
			std::string backOffText(const Call& _call) const
			{
				const Millis remainingMs = this->backOffUntil - nowMs();
				return 0 < remainingMs ? fmt::format("{:.3f}", double(remainingMs) / 1'000.0) : queryField(_call.head.target, "restS");
			}

			void control(const nlohmann::json& _settings)
			{
				this->rejectsAll = "refuse" == _settings.value("mode", this->rejectsAll ? "refuse" : "up");
				this->backOffUntil = _settings.contains("restS") ? nowMs() + Millis(1'000.0 * _settings["restS"].get<double>()) : this->backOffUntil;
				this->leaving = _settings.value("leaving", this->leaving);
				this->limitPerS = _settings.value("limitPerS", this->limitPerS);
				this->crashParts = _settings.value("crashParts", this->crashParts);
				if (_settings.contains("stutter"))
				{
					const nlohmann::json& stutter = _settings["stutter"];
					this->stutter = readStutter(stutter);
					this->stutterUntil = stutter.value("until", Millis(0));
					this->random.seed(stutter.value("seed", std::uint64_t(1)));
				}
			}

			/// Chooses what happens to the answer to a call while this upstream stutters.
			void disturb(Call& _call)
			{
				if (nowMs() < this->stutterUntil)
				{
					_call.answer = pickAnswer(this->random, this->stutter);
					_call.stutter = pickStutter(this->random, this->stutter);
				}
			}

			/// @returns Bytes of another answer to a call, which the disturbance asks for.
			std::string otherAnswer(const Call& _call) const
			{
				return http::serialize(503 == _call.stutter.copyStatus ? this->rejectedHead(_call, "") : this->headFor(_call, 421, ""), "");
			}

			/// @returns Whether a prompt contains a part that crashes this process. The last part never does.
			bool containsCrashPart(const Call& _call) const
			{
				const std::string prompt = this->headerOf(_call, "X-Archdyke-Prompt-Prefix");
				return std::any_of(this->crashParts.begin(), this->crashParts.end(), [&](const std::string& _part) {
					const std::size_t at = ("," + prompt).find("," + _part + ":");
					return std::string::npos != at && std::string::npos != prompt.find(',', at);
				});
			}

			std::string recordText() const
			{
				nlohmann::json records = nlohmann::json::object();
				for (const auto& [request, record] : this->records)
				{
					records[request] = {{"runs", record.runs}, {"left", record.disconnects}, {"turnedAway", record.rejections}, {"cameAt", record.lastArrivalAt}, {"organisation", record.organisation}, {"resumedAfter", record.resumedAfter}};
				}
				return records.dump();
			}

			/// @returns Whether the connection is kept open.
			aio::Task<bool> respond(http::HttpConnection& _connection, const Call& _call)
			{
				std::string bytes;
				if ("/record" == _call.head.target)
				{
					bytes = http::serialize(http::ResponseHead{200, {}, true}, this->recordText());
					co_await _call.writer->write(std::move(bytes));
					co_return true;
				}
				if ("/control" == _call.head.target)
				{
					this->control(nlohmann::json::parse(_call.body));
					bytes = http::serialize(http::ResponseHead{200, {}, true}, "");
					co_await _call.writer->write(std::move(bytes));
					co_return true;
				}
				const std::string expected = this->headerOf(_call, "X-Archdyke-Expect-Instance");
				const std::string requested = queryField(_call.head.target, "do");
				const std::string behaviour = this->isAddressee(_call) ? requested : ("break" == requested || "tear" == requested || "skip" == requested || "jump" == requested || "stream" == requested ? "stream" : "ok");
				if (!expected.empty() && expected != this->id)
				{
					bytes = http::serialize(this->headFor(_call, 421, ""), "");
					co_await _call.writer->write(std::move(bytes));
					co_return true;
				}
				Record& record = this->records[this->headerOf(_call, "X-Archdyke-Request-Id")];
				record.lastArrivalAt = nowMs();
				if (this->rejectsAll || "shed" == behaviour || nowMs() < this->backOffUntil || StutterAnswer::Rejected == _call.answer)
				{
					record.rejections += 1;
					const std::string backOffS = this->backOffText(_call);
					this->printRejection(_call, backOffS);
					http::ResponseHead rejected = this->rejectedHead(_call, backOffS);
					std::string none;
					co_return co_await this->writeAnswer(_call, std::move(rejected), std::move(none));
				}
				record.runs += 1;
				this->printRun(_call);
				record.organisation = this->headerOf(_call, "X-Archdyke-Tenant");
				record.resumedAfter = this->headerOf(_call, "Last-Event-Id");
				const bool shouldCrash = "crash" == behaviour || this->containsCrashPart(_call);
				if (shouldCrash && !_call.head.target.starts_with("/stream/"))
				{
					co_await this->loop.timer.afterDelay(kCrashDelayMs * kj::MILLISECONDS);
					std::_Exit(kCrashExitCode);
				}
				if (behaviour.starts_with("endless-"))
				{
					co_return co_await this->respondEndless(_connection, _call, behaviour);
				}
				if (StutterAnswer::Failed == _call.answer && !shouldCrash)
				{
					co_return co_await this->respondPlain(_connection, _call, behaviour, record);
				}
				const bool streams = _call.head.target.starts_with("/stream/") || _call.head.target.starts_with("/flow/");
				if ("stream" == behaviour || "tear" == behaviour || (streams && "unframed" == behaviour) || "break" == behaviour || "skip" == behaviour || "jump" == behaviour || shouldCrash)
				{
					co_return co_await this->respondStream(_connection, _call, behaviour, shouldCrash, record);
				}
				co_return co_await this->respondPlain(_connection, _call, behaviour, record);
			}

			/// @returns Whether a call is answered before its body was read. Calls that are rejected are read first.
			bool answersEarly(const Call& _call) const
			{
				const std::string expected = this->headerOf(_call, "X-Archdyke-Expect-Instance");
				return "early" == queryField(_call.head.target, "do") && !this->rejectsAll && this->backOffUntil <= nowMs() && (expected.empty() || expected == this->id);
			}

			/// @param[in] _connection Is closed.
			aio::Task<void> respondEarly(std::unique_ptr<http::HttpConnection> _connection, const Call& _call)
			{
				const std::string request = this->headerOf(_call, "X-Archdyke-Request-Id");
				Record& record = this->records[request];
				record.lastArrivalAt = nowMs();
				record.runs += 1;
				this->printRun(_call);
				EarlyResponse response;
				response.body = earlyBody(request);
				response.head = this->headFor(_call, 200, response.body);
				response.isCut = "1" == queryField(_call.head.target, "cut");
				response.endMs = http::parseInteger(queryField(_call.head.target, "endMs")).value_or(0);
				return writeEarly(this->loop.timer, std::move(_connection), std::move(response));
			}

			aio::Task<bool> respondPlain(http::HttpConnection& _connection, const Call& _call, std::string _behaviour, Record& _record)
			{
				const bool fails = "fail" == _behaviour || StutterAnswer::Failed == _call.answer;
				const std::string body = fails ? "failed" : _call.head.method + " " + _call.head.target + " " + _call.body;
				const http::ResponseHead head = this->headFor(_call, fails ? 500 : 200, body);
				std::string bytes = http::serialize(head, body);
				bool keepOpen = true;
				const std::optional<std::int64_t> afterMs = http::parseInteger(queryField(_call.head.target, "afterMs"));
				if (afterMs && this->isAddressee(_call))
				{
					co_await this->loop.timer.afterDelay(*afterMs * kj::MILLISECONDS).exclusiveJoin(_connection.whenDisconnected());
					if (_connection.isDisconnected())
					{
						_record.disconnects += 1;
						co_return false;
					}
				}
				if ("hang" == _behaviour)
				{
					co_await this->loop.timer.afterDelay(kMaxHangMs * kj::MILLISECONDS).exclusiveJoin(_connection.whenDisconnected());
					_record.disconnects += _connection.isDisconnected() ? 1 : 0;
					co_return false;
				}
				if ("cut" == _behaviour)
				{
					bytes.resize(bytes.size() - 3);
					keepOpen = false;
				}
				else if ("garbage" == _behaviour)
				{
					bytes = kNoAnswer;
					keepOpen = false;
				}
				else if ("foreign" == _behaviour)
				{
					http::ResponseHead foreign{200, {}, true};
					foreign.headers.add("X-Archdyke-Request-Id", "another");
					foreign.headers.add("X-Archdyke-Server-Stamp", makeStamp(this->id, "another", 200, "another's answer"));
					if ("1" == queryField(_call.head.target, "foreignLeaving"))
					{
						foreign.headers.add("Server-Leaving", "1");
					}
					bytes = http::serialize(foreign, "another's answer") + bytes;
				}
				else if ("unsigned" == _behaviour)
				{
					http::ResponseHead unsignedHead{200, {}, true};
					unsignedHead.headers.add("X-Archdyke-Request-Id", this->headerOf(_call, "X-Archdyke-Request-Id"));
					bytes = http::serialize(unsignedHead, body);
				}
				else if ("encoded" == _behaviour)
				{
					http::ResponseHead encodedHead = head;
					encodedHead.headers.add("Content-Encoding", "br");
					bytes = http::serialize(encodedHead, body);
				}
				else if ("unframed" == _behaviour)
				{
					bytes = fmt::format("HTTP/1.1 200 OK\r\nX-Archdyke-Request-Id: {}\r\nX-Archdyke-Server-Stamp: {}\r\n\r\n{}", this->headerOf(_call, "X-Archdyke-Request-Id"), this->stampFor(_call, 200, body), body);
					keepOpen = false;
				}
				else
				{
					co_return co_await this->writeAnswer(_call, head, body);
				}
				co_await this->writeBytes(_call, std::move(bytes));
				co_return keepOpen;
			}

			aio::Task<bool> respondEndless(http::HttpConnection& _connection, const Call& _call, std::string _behaviour)
			{
				const std::string lines = fmt::format("X-Archdyke-Request-Id: {}\r\nX-Archdyke-Server-Stamp: stamp-{}\r\n", this->headerOf(_call, "X-Archdyke-Request-Id"), this->id);
				const std::optional<EndlessAnswer> answer = endlessAnswer(_behaviour.substr(std::string_view("endless-").size()), lines);
				KJ_REQUIRE(answer.has_value(), "unknown kind of answer without end");
				co_await writeEndless(_connection, this->loop.timer, *answer, "byte" == queryField(_call.head.target, "pace"));
				co_return false;
			}

			/// Writes an answer, with what disturbs it while this upstream stutters.
			/// @returns Whether the connection is kept open.
			aio::Task<bool> writeAnswer(const Call& _call, http::ResponseHead _head, std::string _body)
			{
				if (nowMs() < this->stutterUntil)
				{
					std::string other = this->otherAnswer(_call);
					co_return co_await writeDisturbed(*_call.writer, _call.stutter, std::move(_head), std::move(_body), std::move(other));
				}
				std::string bytes = http::serialize(_head, _body);
				co_await this->writeBytes(_call, std::move(bytes));
				co_return true;
			}

			/// Writes an answer, and behind it what the call asks for.
			aio::Task<void> writeBytes(const Call& _call, std::string _bytes)
			{
				const std::optional<std::int64_t> size = this->isAddressee(_call) ? http::parseInteger(queryField(_call.head.target, "behind")) : std::nullopt;
				const std::string again = size ? _bytes.substr(0, std::size_t(*size)) : "";
				const bool waits = "next" == queryField(_call.head.target, "behindWhen");
				_bytes += waits ? "" : again;
				co_await _call.writer->write(std::move(_bytes));
				_call.writer->writeBeforeNext(waits ? again : "");
			}

			static std::string eventText(std::uint64_t _event)
			{
				return fmt::format("id: {}\ndata: piece {}\n\n", _event, _event);
			}

			/// @returns The body of a stream that isn't resumed.
			static std::string streamText()
			{
				std::string text;
				for (std::uint64_t event = 1; event <= kStreamEvents; ++event)
				{
					text += eventText(event);
				}
				return text;
			}

			aio::Task<bool> respondStream(http::HttpConnection& _connection, const Call& _call, std::string _behaviour, bool _crashes, Record& _record)
			{
				http::ResponseHead head = this->headFor(_call, 200, streamText());
				head.headers.add("Content-Type", "text/event-stream");
				const bool unframed = "unframed" == _behaviour || "tear" == _behaviour;
				std::string bytes = http::serializeChunkedHead(head);
				if (unframed)
				{
					bytes.replace(bytes.find("Transfer-Encoding: chunked"), std::string_view("Transfer-Encoding: chunked").size(), "Connection: close");
				}
				std::string sent = bytes;
				const bool cutsHead = StutterKind::Cut == _call.stutter.kind && 0 == _call.stutter.atEvent % (kStreamEvents + 1);
				if (StutterKind::EndlessHead == _call.stutter.kind)
				{
					co_await writeEndlessHead(*_call.writer);
					co_return false;
				}
				if (cutsHead)
				{
					std::string cut = cutAt(bytes, _call.stutter.cutAt / 2.0);
					co_await _call.writer->write(std::move(cut));
					co_return false;
				}
				co_await _call.writer->write(std::move(bytes));
				if ("jump" == _behaviour)
				{
					std::string chunk = http::serializeChunk("id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 4\ndata: piece 4\n\n");
					co_await _call.writer->write(std::move(chunk));
					co_return false;
				}
				const std::optional<std::int64_t> after = http::parseInteger(_record.resumedAfter);
				const std::optional<std::int64_t> afterMs = http::parseInteger(queryField(_call.head.target, "afterMs"));
				if (afterMs && !after)
				{
					co_await this->loop.timer.afterDelay(*afterMs * kj::MILLISECONDS);
				}
				for (std::uint64_t event = after ? std::uint64_t(*after) + 1 : 1; event <= kStreamEvents; ++event)
				{
					co_await this->loop.timer.afterDelay(kEventIntervalMs * kj::MILLISECONDS);
					if (_connection.isDisconnected())
					{
						_record.disconnects += 1;
						co_return false;
					}
					if (_crashes && kEventsBeforeCrash < event)
					{
						std::_Exit(kCrashExitCode);
					}
					if ("skip" == _behaviour && 3 == event)
					{
						continue;
					}
					std::string text = eventText(event);
					const bool breaks = ("break" == _behaviour || "tear" == _behaviour) && !after && 4 == event;
					text.resize(breaks ? text.size() / 2 : text.size());
					std::string chunk = unframed ? text : http::serializeChunk(text);
					const bool disturbed = event == _call.stutter.atEvent % (kStreamEvents + 1) && nowMs() < this->stutterUntil;
					std::string copy = copyOf(_call.stutter, sent, this->otherAnswer(_call));
					const bool goesOn = !disturbed || co_await disturbStream(*_call.writer, _call.stutter, chunk, std::move(copy));
					if (!goesOn)
					{
						co_return false;
					}
					sent += chunk;
					co_await _call.writer->write(std::move(chunk));
					if (breaks)
					{
						co_return false;
					}
				}
				if (unframed)
				{
					co_return false;
				}
				std::string last(http::kLastChunk);
				std::string copy = copyOf(_call.stutter, sent + last, this->otherAnswer(_call));
				last += StutterKind::CopyNow == _call.stutter.kind ? copy : "";
				co_await _call.writer->write(std::move(last));
				followUp(*_call.writer, _call.stutter, std::move(copy));
				co_return true;
			}

			std::string id;
			std::vector<std::string> crashParts; ///< Parts of prompts, in hex.
			std::map<std::string, Record> records;
			Random random;
			StutterSettings stutter;
			Millis stutterUntil = 0;
			bool rejectsAll = false;
			bool leaving = false;
			Millis backOffUntil = 0;
			double limitPerS = 0.0; ///< Named in all responses; 0: none.
		};
	} // namespace

	void runStub(const nlohmann::json& _options)
	{
		kj::AsyncIoContext io = kj::setupAsyncIo();
		io.waitScope.setBusyPollInterval(aio::kMaxEventsBetweenPolls);
		Worker worker(io, _options.value("id", "worker"), _options.value("crashParts", std::vector<std::string>()));
		const std::string address = _options.value("address", "127.0.0.1:0");
		http::Listener listener(worker.loop, address, [&worker](std::unique_ptr<http::HttpConnection> _connection) {
			return worker.serve(std::move(_connection));
		});
		logInfo("listening", {{"http", fmt::format("{}:{}", parseAddress(address).host, listener.port())}});
		kj::NEVER_DONE.wait(io.waitScope);
	}
} // namespace archdyke::stub
