/// Entries among themselves: each tells the others which configuration it holds, and
/// hands over documents.
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
	/// What an entry says of itself.
	struct PeerState
	{
		std::string name;
		std::string zone;
		std::uint64_t incarnation = 0;
		bool leaving = false;
		HeldConfig held;

		bool operator==(const PeerState&) const = default;
	};

	/// What came back from one peer.
	struct PeerAnswer
	{
		std::string address;
		PeerState state;

		bool operator==(const PeerAnswer&) const = default;
	};

	/// How an entry serves its peers. Called on the loop's thread; must not block.
	struct PeerHandlers
	{
		std::function<PeerState(const PeerState&)> exchange;
		std::function<std::optional<std::string>(const std::string&)> document;
	};

	/// @returns A server for peers. On the loop's thread.
	rpc::Peer::Client makePeerServer(PeerHandlers _handlers);

	/// Calls to peers. Its methods block and are for one thread.
	class PeerCalls
	{
	public:
		explicit PeerCalls(RpcLoop& _loop);

		/// Exchanges states with several peers at once.
		/// @returns The answers that came in time.
		std::vector<PeerAnswer> exchange(const std::vector<std::string>& _addresses, const PeerState& _mine, Millis _timeoutMs);

		/// @returns The document; none when the peer hasn't got it or doesn't answer.
		std::optional<std::string> document(const std::string& _address, const std::string& _digest, Millis _timeoutMs);

	private:
		RpcPool<rpc::Peer> pool;
	};
} // namespace archdyke
