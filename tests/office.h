/// What the tests with real processes share: a small office behind the fault proxy.
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

	/// Applies the office's file and waits until all is linked.
	inline void makeReady(lab::Office& _office)
	{
		const lab::CommandResult applied = _office.apply();
		cr_assert(0 == applied.exitCode, "apply failed: %s", applied.error.c_str());
		cr_assert(_office.waitReady(), "the office did not get ready");
	}

	inline lab::LoadOptions loadOn(lab::Office& _office)
	{
		return _office.loadOptions();
	}

	/// Sends a call on a thread of its own.
	inline std::future<lab::CallRecord> callLater(const lab::LoadOptions& _load, lab::CallKind _kind, const std::string& _token, const std::string& _entry)
	{
		return std::async(std::launch::async, [=] {
			return lab::sendCall(_load, _kind, _token, _entry, "alpha");
		});
	}

	/// Waits until a token has run this often by the stand-ins' records.
	inline bool waitForRuns(lab::Office& _office, const std::string& _token, int _count, Millis _timeoutMs = 5'000)
	{
		return lab::waitUntil(_timeoutMs, [&] {
			return _count <= _office.runs()[_token];
		});
	}

	/// Sets how long the plain services take.
	inline void slowServices(lab::Office& _office, Millis _delayMs)
	{
		for (const lab::UpstreamStub& stub : _office.stubs())
		{
			if ("shop" == stub.service)
			{
				lab::sendJson(stub.address, "POST", "/control", {{"delayMs", _delayMs}});
			}
		}
	}

	/// Sets faults on the links from a zone to all agents.
	inline void faultAgents(lab::Office& _office, const std::string& _fromZone, const nlohmann::json& _faults)
	{
		for (const std::unique_ptr<lab::Daemon>& agent : _office.agents())
		{
			_office.linkFaults(lab::Office::linkName(_fromZone, agent->name), _faults);
		}
	}

	inline void expectNoViolation(const lab::Violations& _violations)
	{
		cr_assert(0 == _violations.total(), "foreign %d, cut but clean %d, ran though told not run %d, doubled %d, silent %d", _violations.foreign, _violations.cutClean, _violations.falseNotRun, _violations.doubled, _violations.silent);
	}
} // namespace archdyke::tests
