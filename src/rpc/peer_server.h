/// Serves Cap'n Proto connections of other daemons within the process's budget: messages that come are charged until they are
/// dropped, and a peer that doesn't read its responses isn't read from.
#pragma once

#include <capnp/capability.h>
#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include "archdyke/types.h"
#include "http/resource_budget.h"

namespace archdyke
{
	class PeerServer final : private kj::TaskSet::ErrorHandler
	{
	public:
		/// @param[in] _timer Of the event loop, for a pause after a failed accept.
		/// @param[in] _maxConnections Connections that are served at once; a further one takes the place of a silent one, or is closed.
		PeerServer(kj::Timer& _timer, http::ResourceBudget& _resources, capnp::Capability::Client _bootstrap, std::size_t _maxConnections);

		/// Accepts connections until the promise is dropped.
		kj::Promise<void> listen(kj::ConnectionReceiver& _receiver);

	private:
		void acceptOne(kj::Own<kj::AsyncIoStream> _stream);
		void serve(kj::Own<kj::AsyncIoStream> _stream);
		void taskFailed(kj::Exception&& _error) override;

		kj::Timer& timer;
		http::ResourceBudget& resources;
		capnp::Capability::Client bootstrap;
		const std::size_t maxConnections;
		absl::flat_hash_set<http::ResourceHolder*> holders; ///< Of the open connections.
		kj::TaskSet connections;
		Millis refusalLoggedAt = 0;
	};
} // namespace archdyke
