/// Platform adapter: decodes the platform's wire format into archdyke's types and encodes it.
#include "archdyke/errors.h"
#include "codec.h"
#include "documents.h"
#include "engine.h"
#include "http/socket_address.h"

#include <nlohmann/json.hpp>

#include "check.h"
#include "odd_rows.h"

using namespace archdyke;

namespace
{
	using Json = nlohmann::json;

	/// @returns A valid row as written by an upstream.
	Json upstreamRow()
	{
		return {{"service", "s"}, {"address", "10.0.0.9:80"}, {"zone", "z"}, {"version", "v1"}, {"slots", 12}, {"state", "ready"}, {"coldLeftMs", 2'500.5}, {"seq", 4}, {"born", 1'764'720'000'123}};
	}

	bool isRejected(const Json& _row, const std::string& _key = "i-1")
	{
		try
		{
			platform::decodeUpstream(_key, _row.is_string() ? _row.get<std::string>() : _row.dump());
			return false;
		}
		catch (const InvalidInputError&)
		{
			return true;
		}
	}

	/// @returns A valid row with one field replaced.
	Json with(const char* _field, Json _value)
	{
		Json row = upstreamRow();
		row[_field] = std::move(_value);
		return row;
	}

	Json without(const char* _field)
	{
		Json row = upstreamRow();
		row.erase(_field);
		return row;
	}

	/// Generates unexpected values and values that are almost valid.
	rc::Gen<Json> unexpectedValue()
	{
		return rc::gen::map(rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::arbitrary<std::int64_t>()), [](const std::pair<int, std::int64_t>& _random) {
			const std::vector<Json> values{Json(), Json(true), Json::array({1}), Json::object(), Json(_random.second), Json(double(_random.second) / 3.0), Json(std::to_string(_random.second)), Json("10.0.0.9:" + std::to_string(_random.second % 100'000)), Json(std::string("10.0.0.9\0:80", 12)), Json("draining")};
			return values[std::size_t(_random.first)];
		});
	}

	http::RequestHead callerHead()
	{
		http::RequestHead head{"POST", "/x/y?z=1", {}, true};
		head.headers.add("Host", "a.example");
		head.headers.add("x-archdyke-request-id", "9c41");
		head.headers.add("X-Archdyke-Deadline-Ms", "8000");
		head.headers.add("X-Api-Key", "secret");
		head.headers.add("X-Archdyke-Tenant", "forged");
		head.headers.add("X-Archdyke-Token-Count", "1460,80");
		head.headers.add("X-Archdyke-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
		head.headers.add("Length-Hint", "40");
		head.headers.add("Last-Event-Id", "12");
		head.headers.add("Connection", "close");
		head.headers.add("X-Other", "kept");
		return head;
	}
} // namespace

Test(platform, a_request_is_decoded_once)
{
	const gateway::CallerRequest request = platform::makeCodec().decodeRequest(callerHead());
	cr_assert(request.id == "9c41" && request.host == "a.example" && request.key == "secret");
	cr_assert(request.patienceMs == 8'000 && request.resumeAfter == 12);
	cr_assert(request.promptTokens == 1'460 && request.maxResponseTokens == 80 && request.expectedResponseTokens == 40);
	cr_assert(request.prompt.size() == 2 && request.prompt[1].tokens == 410 && request.prompt[0].id == 0x5c1e07a2);
}

Test(platform, an_upstream_gets_no_key_and_no_forged_organisation)
{
	const gateway::Codec codec = platform::makeCodec();
	const http::RequestHead head = codec.encodeDispatch(callerHead(), codec.decodeRequest(callerHead()), {"i-1", "kitchen", 700, 15, std::nullopt});
	cr_assert(!head.headers.find("X-Api-Key") && !head.headers.find("Connection"));
	cr_assert(*head.headers.find("X-Archdyke-Tenant") == "kitchen");
	cr_assert(*head.headers.find("X-Archdyke-Expect-Instance") == "i-1");
	cr_assert(*head.headers.find("X-Archdyke-Deadline-Ms") == "700");
	cr_assert(*head.headers.find("Last-Event-Id") == "15");
	cr_assert(*head.headers.find("X-Archdyke-Token-Count") == "1460,80" && *head.headers.find("X-Other") == "kept");
	cr_assert(head.method == "POST" && head.target == "/x/y?z=1");
}

Test(platform, a_response_states_what_is_proved)
{
	const gateway::Codec codec = platform::makeCodec();
	http::ResponseHead head{503, {}, true};
	head.headers.add("X-Archdyke-Request-Id", "9c41");
	cr_assert(!codec.decodeResponse(head).provedNotRun);
	head.headers.add("X-Archdyke-Not-Executed", "1");
	head.headers.add("Keep-Alive", "timeout=7, max=3");
	head.headers.add("At-Server", "i-2");
	const gateway::ResponseInfo info = codec.decodeResponse(head);
	cr_assert(info.provedNotRun && info.keepAliveMs == 7'000 && info.faultyMember == "i-2" && !info.signedByUpstream);
	cr_assert(codec.decodeResponse({421, {}, true}).wrongIncarnation);
}

Test(platform, a_response_states_its_upstreams_back_off_and_leaving)
{
	const gateway::Codec codec = platform::makeCodec();
	const auto requestedBackOffMs = [&](int _status, const char* _text) {
		http::ResponseHead head{_status, {}, true};
		head.headers.add("Retry-After", _text);
		return codec.decodeResponse(head).backOffMs;
	};
	cr_assert(3'000 == requestedBackOffMs(503, "3") && 250 == requestedBackOffMs(503, "0.25") && 0 == requestedBackOffMs(503, "0"));
	cr_assert(!requestedBackOffMs(503, "soon") && !requestedBackOffMs(503, "-1") && !requestedBackOffMs(503, "nan") && !requestedBackOffMs(503, ""));
	cr_assert(requestedBackOffMs(503, "1e300"), "longer than any back-off, but a valid number");
	cr_assert(!requestedBackOffMs(429, "3") && !requestedBackOffMs(200, "3"), "applies to one caller only");
	http::ResponseHead head{200, {}, true};
	cr_assert(!codec.decodeResponse(head).leaving);
	head.headers.add("Server-Leaving", "1");
	cr_assert(codec.decodeResponse(head).leaving);
}

Test(platform, a_response_states_the_limit_that_its_upstream_names)
{
	const gateway::Codec codec = platform::makeCodec();
	const auto namedLimit = [&](const char* _text) {
		http::ResponseHead head{200, {}, true};
		head.headers.add("Server-Limit", _text);
		return codec.decodeResponse(head).limitPerS;
	};
	cr_assert(1.0 == namedLimit("1") && 0.25 == namedLimit("0.25") && 0.0 == namedLimit("0"));
	cr_assert(!namedLimit("") && !namedLimit("few") && !namedLimit("-1") && !namedLimit("nan") && !namedLimit("inf"));
	cr_assert(!codec.decodeResponse({200, {}, true}).limitPerS);
}

Test(platform, a_refusal_states_the_retry_delay)
{
	const gateway::Codec codec = platform::makeCodec();
	const http::ResponseHead head = codec.encodeRefusal(codec.decodeRequest(callerHead()), {503, 1'250, "overloaded"});
	cr_assert(head.status == 503 && *head.headers.find("Retry-After") == "1.250");
	cr_assert(!head.headers.find("X-Archdyke-Server-Stamp"));
}

Test(platform, a_configuration_is_decoded)
{
	const Catalog catalog = platform::decodeCatalog(R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","routeKind":"streaming","timeoutMs":8000,"sloMs":500,"priority":1,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":2,"public":true,"resumable":true,"gap_aim_ms":120},{"host":"h","pathPrefix":"/b/","routeKind":"non_idempotent","service":"t"}],"services":[{"name":"s","maxConns":348,"engine":{"slots":12,"linkMbps":180000.0,"stride":4,"step_ms":4.55,"per_seq_ms":0.905,"read_per_s":61400.0,"sets":4,"experts":72,"places":8,"spare":3,"expert_mb":2200.0,"expert_share":0.85,"form_ms":600.0}}],"limits":{"maxBodyBytes":77},"tenants":[{"name":"o","apiKeys":["k1","k2"],"priority":2}],"unknown":1})");
	cr_assert(catalog.version == 7 && catalog.routes.size() == 2);
	cr_assert(catalog.routes[0].stream && catalog.routes[0].resumable && catalog.routes[0].gapObjectiveMs == 120 && catalog.routes[0].services.size() == 2);
	cr_assert(catalog.routes[1].repeat == Repeat::AtMostOnce && catalog.routes[1].services.front().name == "t" && catalog.routes[1].maxAttempts == 1);
	cr_assert(catalog.services[0].engine->experts == 72 && std::abs(catalog.services[0].engine->expertCopyMs - 97.8) < 0.1);
	cr_assert(catalog.organisations[0].keys.size() == 2 && catalog.limits.bodyBytes == 77);
	cr_assert_throw(platform::decodeCatalog("{\"routes\":[]}"), InvalidInputError);
	cr_assert_throw(platform::decodeCatalog("no json"), InvalidInputError);
}

Test(platform, a_row_of_an_upstream_is_decoded)
{
	const UpstreamRecord record = platform::decodeUpstream("i-1", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":12,"state":"draining"})");
	cr_assert(record.incarnation == "i-1" && record.leaving && record.slots == 12);
	cr_assert_throw(platform::decodeUpstream("i-1", R"({"service":3})"), InvalidInputError);
}

Test(platform, an_engines_report_is_decoded)
{
	const group::EngineCodec codec = platform::makeEngineCodec();
	const group::EngineReport report = codec.decodeReport(R"({"group":{"name":"g","epoch":2,"rank":3,"state":"open"},"size":12,"queued":1,"active":9,"step":82,"map":5,"prepared":6,"armed":{"version":6,"step":90},"held":90})");
	cr_assert(report.group == "g" && report.rank == 3 && report.ranks == 12 && report.queued == 1 && report.active == 9);
	cr_assert((report.view == RankView{true, 2, true, 82, 5, 6, 6, 90}));
	cr_assert(codec.decodeReport(R"({"queued":0,"active":1})").group.empty());
	cr_assert_throw(codec.decodeReport("[]"), InvalidInputError);
	cr_assert(codec.encodeOrder({RankOrderKind::Arm, 2, 6, 90, {}}) == R"({"epoch":2,"op":"arm","step":90,"version":6})");
	cr_assert(codec.isAccepted(202) && codec.isAccepted(200) && !codec.isAccepted(409));
}

Test(platform, a_row_states_start_time_and_remaining_cold_time)
{
	const UpstreamRecord record = platform::decodeUpstream("i-1", upstreamRow().dump());
	cr_assert(1'764'720'000'123 == record.startedAt && 2'500 == record.coldForMs && !record.leaving);
	cr_assert(platform::decodeUpstream("i-1", with("state", "draining").dump()).leaving);
	cr_assert(0 == platform::decodeUpstream("i-1", without("born").dump()).startedAt, "rows of older versions have no start time");
	cr_assert(!platform::decodeUpstream("i-1", without("coldLeftMs").dump()).coldForMs);
	cr_assert(0 == platform::decodeUpstream("i-1", with("coldLeftMs", 0).dump()).coldForMs, "the upstream reports that it is warm");
}

Test(platform, an_invalid_row_is_rejected)
{
	for (const char* field : {"service", "address", "zone", "slots", "state"})
	{
		cr_assert(isRejected(without(field)), "without %s", field);
	}
	for (const Json& row : {with("state", "asleep"), with("state", 1), with("service", 3), with("service", ""), with("zone", Json()), with("slots", "4"), with("slots", -1), with("slots", 1.5), with("slots", true), with("coldLeftMs", "12"), with("coldLeftMs", -1), with("coldLeftMs", 1e300), with("born", 1.5), with("born", "1764720000123"), with("born", -5), with("born", Json()), with("seq", "4"), with("version", 1)})
	{
		cr_assert(isRejected(row), "%s", row.dump().c_str());
	}
	for (const char* address : {"", "nowhere", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:70000", "10.0.0.900:80", "host:80", ":80", "[::1]:80"})
	{
		cr_assert(isRejected(with("address", address)), "%s", address);
	}
	for (const char* text : {"", "{", "[]", "null", "7", "\xff\xfe", "\"ready\""})
	{
		cr_assert(isRejected(Json(std::string(text))), "%s", text);
	}
	// The key is sent in a request header.
	cr_assert(isRejected(upstreamRow(), "i-1\r\nX-Api-Key: k") && isRejected(upstreamRow(), ""));
}

/// However a row is changed, it is either rejected as a whole or yields an upstream with a usable address.
Test(platform, a_changed_row_never_yields_an_unusable_address)
{
	tests::checkProperty("changed rows", [] {
		Json row = upstreamRow();
		const int changes = *rc::gen::inRange(1, 4);
		for (int change = 0; change < changes; ++change)
		{
			const std::string field = *rc::gen::element<std::string>("service", "address", "zone", "version", "slots", "state", "coldLeftMs", "seq", "born");
			row[field] = *unexpectedValue();
		}
		std::string text = row.dump();
		if (*rc::gen::arbitrary<bool>())
		{
			text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
		}
		try
		{
			const UpstreamRecord record = platform::decodeUpstream("i-1", text);
			RC_ASSERT(0 != http::parseSocketAddress(record.address).sin_port);
			RC_ASSERT(!record.service.empty() && 0 < record.slots && 0 <= record.startedAt && 0 <= record.coldForMs.value_or(0));
		}
		catch (const InvalidInputError&)
		{
			return;
		}
	});
}

Test(platform, limits_of_cold_upstreams_are_bounded)
{
	const auto coldOf = [](const Json& _service) {
		return platform::decodeCatalog(Json{{"version", 1}, {"services", Json::array({_service})}}.dump()).services.front().cold;
	};
	cr_assert((ColdLimit{3'000, 18.0}) == coldOf({{"name", "s"}, {"coldS", 3}, {"coldPerS", 18}}));
	cr_assert(!coldOf({{"name", "s"}}) && !coldOf({{"name", "s"}, {"coldS", 3}, {"coldPerS", -18}}));
	cr_assert(0 == coldOf({{"name", "s"}, {"coldS", -3}, {"coldPerS", 18}})->coldMs);
	cr_assert(1e9 > coldOf({{"name", "s"}, {"coldS", 1e300}, {"coldPerS", 1e300}})->requestsPerS);
}

Test(platform, a_row_that_is_nested_deeply_or_has_too_large_a_number_is_only_rejected)
{
	for (const tests::OddRow& row : tests::unusableRows())
	{
		cr_expect(isRejected(Json(row.value)), "%s", row.name.c_str());
	}
}

Test(platform, a_row_with_extreme_values_yields_an_upstream)
{
	for (const tests::OddRow& row : tests::extremeRows())
	{
		cr_expect(!platform::decodeUpstream("i-1", row.value).address.empty(), "%s", row.name.c_str());
	}
}

/// Recursion over a document must not exhaust the stack, whichever part of it is nested.
Test(platform, a_configuration_that_is_nested_deeply_ends_no_process)
{
	const std::string nested = tests::nestedObjects(100'000);
	for (const char* field : {"version", "routes", "services", "tenants", "limits", "unknown"})
	{
		const std::string fields = std::string("version") == field ? "" : "\"version\":1,";
		for (const std::string& value : {nested, "[" + nested + "]", tests::nestedArrays(100'000)})
		{
			const std::string text = "{" + fields + "\"" + field + "\":" + value + "}";
			cr_expect_throw(platform::decodeCatalog(text), InvalidInputError, "%s", field);
		}
	}
	for (const char* field : {"split", "service", "host"})
	{
		const std::string text = std::string(R"({"version":1,"routes":[{"pathPrefix":"/","host":"h",")") + field + "\":" + nested + "}]}";
		cr_expect_throw(platform::decodeCatalog(text), InvalidInputError, "%s", field);
	}
	for (const char* field : {"engine", "coldS", "name"})
	{
		const std::string text = std::string(R"({"version":1,"services":[{")") + field + "\":" + nested + "}]}";
		cr_expect_throw(platform::decodeCatalog(text), InvalidInputError, "%s", field);
	}
}

Test(platform, an_engines_report_that_is_nested_deeply_is_only_rejected)
{
	const group::EngineCodec codec = platform::makeEngineCodec();
	const std::string nested = tests::nestedObjects(100'000);
	for (const char* field : {"map", "prepared", "armed", "held", "queued", "group"})
	{
		const std::string text = std::string(R"({"size":2,"group":{"name":"g","epoch":1,"rank":0},")") + field + "\":" + nested + "}";
		cr_expect_throw(codec.decodeReport(text), InvalidInputError, "%s", field);
	}
	cr_expect_throw(codec.decodeCounts("{\"counts\":" + nested + "}"), InvalidInputError);
}

/// However the bytes of an odd row are changed, it is either rejected or yields an upstream with a usable address.
Test(platform, a_changed_odd_row_is_rejected_or_yields_an_upstream)
{
	std::vector<tests::OddRow> rows = tests::unusableRows();
	const std::vector<tests::OddRow> extreme = tests::extremeRows();
	rows.insert(rows.end(), extreme.begin(), extreme.end());
	tests::checkProperty("changed odd rows", [&] {
		std::string text = (*rc::gen::elementOf(rows)).value;
		const int changes = *rc::gen::inRange(0, 6);
		for (int change = 0; change < changes && !text.empty(); ++change)
		{
			const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
			const std::string inserted = *rc::gen::element<std::string>(std::string(), "[", "]", "{", "}", "\"", "\\", ",", "9", "-", "e9", std::string(1, '\0'), "\xff");
			text.replace(at, *rc::gen::inRange<std::size_t>(0, 3), inserted);
		}
		try
		{
			RC_ASSERT(0 != http::parseSocketAddress(platform::decodeUpstream("i-1", text).address).sin_port);
		}
		catch (const InvalidInputError&)
		{
			return;
		}
	});
}
