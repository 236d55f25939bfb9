/// Calls between entries: each reports which configuration it holds to the others, and
/// serves documents to them.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/acceptance.h"
#include "generated/rpc.capnp.h"
#include "rpc/rpc_pool.h"

namespace archdyke
{
	/// State that an entry reports to its peers.
	struct PeerState
	{
		std::string name;
		std::string zone;
		std::uint64_t incarnation = 0;
		bool leaving = false;
		HeldConfig held;

		bool operator==(const PeerState&) const = default;
	};

	/// Response of one peer.
	struct PeerResponse
	{
		std::string address;
		PeerState state;

		bool operator==(const PeerResponse&) const = default;
	};

	/// Handlers for calls from peers. Run on the loop's thread; must not block.
	struct PeerHandlers
	{
		std::function<PeerState(const PeerState&)> exchange;
		std::function<std::optional<std::string>(const std::string&)> document;
	};

	/// @returns A server for calls from peers. Call it on the loop's thread.
	rpc::Peer::Client makePeerServer(PeerHandlers _handlers);

	/// Makes calls to peers. Its methods block; use it from one thread.
	class PeerCalls
	{
	public:
		explicit PeerCalls(RpcLoop& _loop);

		/// Exchanges states with several peers at once.
		/// @returns The responses received within the timeout.
		std::vector<PeerResponse> exchange(const std::vector<std::string>& _addresses, const PeerState& _mine, Millis _timeoutMs);

		/// @returns The document; none when the peer doesn't have it or doesn't respond.
		std::optional<std::string> document(const std::string& _address, const std::string& _digest, Millis _timeoutMs);

	private:
		RpcPool<rpc::Peer> pool;
	};
} // namespace archdyke
