/// Follows the store: the newest configuration and the list of upstreams.
#pragma once

#include <functional>
#include <map>

#include "gateway/state.h"
#include "store/table_store.h"

namespace archdyke::gateway
{
	/// Decoders of the adapter.
	struct DocumentDecoders
	{
		Catalog (*catalog)(const std::string& _document);
		UpstreamRecord (*upstream)(const std::string& _incarnation, const std::string& _document);
	};

	class StoreWatch
	{
	public:
		StoreWatch(GatewayState& _state, store::TableStore& _store, store::TableNames _names, DocumentDecoders _decoders);

	private:
		aio::Task<void> watchConfiguration();
		aio::Task<void> watchUpstreams();
		aio::Task<void> forgetDoubtful();
		aio::Task<store::Rows> readAll(std::string _table);
		void takeConfiguration(const store::Rows& _rows);
		void takeUpstreams(const store::Rows& _rows);
		void takeUpstreamList(const store::Rows& _rows);
		void loseUpstream(const std::string& _incarnation);
		void noteStore(const char* _table, bool _up, const std::string& _reason);

		GatewayState& state;
		store::TableStore& store;
		store::TableNames names;
		DocumentDecoders decoders;
		std::map<std::string, bool> up;         ///< By table: whether the last call was answered.
		Millis upstreamsBackAt = 0;             ///< When the list could be read again.
		std::map<std::string, Millis> doubtful; ///< Upstreams whose row went with the store; when to forget them.
		kj::Own<kj::PromiseFulfiller<store::Rows>> upstreamsInterrupt;
		kj::Promise<void> configuration = nullptr;
		kj::Promise<void> upstreams = nullptr;
		kj::Promise<void> doubts = nullptr;
	};
} // namespace archdyke::gateway
