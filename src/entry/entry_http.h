/// The HTTP interface of an entry for callers: passes HTTP requests to the pipeline and
/// sends the responses.
#pragma once

#include <atomic>
#include <memory>

#include "base/http_server.h"
#include "base/metrics.h"
#include "base/pause_guard.h"
#include "entry/claims.h"
#include "entry/config_keeper.h"
#include "entry/directory.h"
#include "entry/filters.h"
#include "entry/request_run.h"

namespace archdyke
{
	/// Counters of the pipeline.
	struct EntryCounters
	{
		explicit EntryCounters(Metrics& _metrics);

		prometheus::Counter& ran;
		prometheus::Counter& notRun;
		prometheus::Counter& unknown;
		prometheus::Counter& broken;
		prometheus::Counter& abandoned;
		prometheus::Counter& retried;
		prometheus::Counter& resumed;
		prometheus::Counter& droppedFrames;
		prometheus::Histogram& firstByteSeconds;
		prometheus::Histogram& totalSeconds;
	};

	/// Parts of the entry that the pipeline uses.
	struct EntryParts
	{
		ConfigKeeper& keeper;
		Directory& directory;
		PauseGuard& guard;
		Claims& claims;
		CrashRecord& crashes;
		EntryCounters& counters;
	};

	class EntryHttp
	{
	public:
		EntryHttp(EntryParts _parts, std::uint64_t _incarnation);

		/// Registers the HTTP routes for callers.
		void addRoutes(HttpServer& _server);

		/// Rejects all new requests as not run from now on.
		void leave();

		/// @returns Whether new requests are accepted.
		bool isReady();

		/// @returns Number of requests in progress.
		std::size_t inFlight() const;

	private:
		struct Exchange;

		void handle(const httplib::Request& _request, httplib::Response& _response);
		void admit(const httplib::Request& _request, Exchange& _exchange);
		/// @throws RejectedError When several upstreams crashed under the request.
		void refuseCrashing(const ResolvedRequest& _request);
		void claimKey(Exchange& _exchange);
		void sendWholeResponse(const std::shared_ptr<Exchange>& _exchange, httplib::Response& _response);
		bool relay(const std::shared_ptr<Exchange>& _exchange, httplib::DataSink& _sink);
		void recordOutcome(Exchange& _exchange, Outcome _outcome);
		void reject(Exchange& _exchange, const RejectedError& _error, httplib::Response& _response);
		std::string newRequestId();

		EntryParts parts;
		const std::uint64_t incarnation;
		OrganisationLimits limits;
		SharedRetryBudget retries;
		std::atomic<std::uint64_t> requests{0};
		std::atomic<std::size_t> active{0};
		std::atomic<bool> leaving{false};
	};
} // namespace archdyke
