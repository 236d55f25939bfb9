/// Helpers for tests with real processes: a small office whose links pass through the fault proxy.
#pragma once

#include <criterion/criterion.h>
#include <csignal>
#include <functional>
#include <future>
#include <string>

#include "lab.h"
#include "load.h"

namespace archdyke::tests
{
	inline lab::OfficeOptions smallOffice(std::uint32_t _entriesPerZone = 1)
	{
		lab::OfficeOptions options;
		options.file = std::string(ARCHDYKE_SOURCE_DIR) + "/examples/small.json";
		options.entriesPerZone = _entriesPerZone;
		options.viaProxy = true;
		return options;
	}

	/// Applies the office's configuration and waits until all entries are ready and linked to all agents.
	inline void makeReady(lab::Office& _office)
	{
		const lab::CommandResult applied = _office.apply();
		cr_assert(0 == applied.exitCode, "apply failed: %s", applied.error.c_str());
		cr_assert(_office.waitReady(), "the office did not get ready");
	}

	inline lab::LoadOptions loadOptionsOf(lab::Office& _office)
	{
		return _office.loadOptions();
	}

	/// Sends a call on a new thread.
	inline std::future<lab::CallRecord> sendCallAsync(const lab::LoadOptions& _load, lab::CallKind _kind, const std::string& _token, const std::string& _entry)
	{
		return std::async(std::launch::async, [=] {
			return lab::sendCall(_load, _kind, _token, _entry, "alpha");
		});
	}

	/// Waits until the stubs have recorded at least _count runs of a token.
	inline bool waitForRuns(lab::Office& _office, const std::string& _token, int _count, Millis _timeoutMs = 5'000)
	{
		return lab::waitUntil(_timeoutMs, [&] {
			return _count <= _office.runs()[_token];
		});
	}

	/// Sets the response delay of the plain service "shop".
	inline void setShopDelay(lab::Office& _office, Millis _delayMs)
	{
		for (const lab::UpstreamStub& stub : _office.stubs())
		{
			if ("shop" == stub.service)
			{
				lab::sendJson(stub.address, "POST", "/control", {{"delayMs", _delayMs}});
			}
		}
	}

	/// Sets faults on the links from the entries of a zone to all agents.
	inline void setAgentLinkFaults(lab::Office& _office, const std::string& _fromZone, const nlohmann::json& _faults)
	{
		for (const std::unique_ptr<lab::Daemon>& agent : _office.agents())
		{
			_office.linkFaults(lab::Office::linkName(_fromZone, agent->name), _faults);
		}
	}

	inline void expectNoViolation(const lab::Violations& _violations)
	{
		cr_assert(0 == _violations.total(), "responses of other calls %d, truncated but cleanly ended %d, ran though reported as not run %d, ran twice %d, without response %d", _violations.foreign, _violations.cleanlyTruncated, _violations.ranDespiteNotRun, _violations.doubled, _violations.silent);
	}
} // namespace archdyke::tests
