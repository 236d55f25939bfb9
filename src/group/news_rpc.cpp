#include "group/news_rpc.h"

#include "group/rank_rpc.h"

namespace archdyke::group
{
	namespace
	{
		std::string readText(capnp::Data::Reader _data)
		{
			const auto chars = _data.asChars();
			return {chars.begin(), chars.size()};
		}

		/// Reads a key with its length: it may contain NUL characters.
		std::string readKey(capnp::Text::Reader _key)
		{
			return {_key.begin(), _key.size()};
		}

		/// A conversion without a length would end the key at its first NUL character.
		kj::StringPtr asText(const std::string& _text)
		{
			return {_text.c_str(), _text.size()};
		}

		kj::ArrayPtr<const kj::byte> asData(const std::string& _text)
		{
			return asText(_text).asBytes();
		}

		store::TableNews readTable(rpc::TableNews::Reader _reader)
		{
			const Millis storeTime = _reader.getStoreTime();
			store::TableNews news{0 == storeTime ? std::nullopt : std::optional(storeTime), _reader.getVersion(), _reader.getWhole(), {}, {}};
			for (const auto row : _reader.getRows())
			{
				news.rows.push_back({{"", "", readKey(row.getKey())}, readText(row.getValue()), row.getVersion(), row.getGone()});
			}
			for (const auto row : _reader.getDifferences())
			{
				news.differences.push_back({readKey(row.getKey()), row.getVersion(), row.getBase(), readText(row.getDifference())});
			}
			return news;
		}

		void writeTable(rpc::TableNews::Builder _builder, const store::TableNews& _news)
		{
			_builder.setStoreTime(_news.storeTime.value_or(0));
			_builder.setVersion(_news.version);
			_builder.setWhole(_news.whole);
			auto rows = _builder.initRows(unsigned(_news.rows.size()));
			for (unsigned index = 0; index < rows.size(); ++index)
			{
				const store::Row& row = _news.rows[index];
				rows[index].setKey(asText(row.key.key));
				rows[index].setVersion(row.version);
				rows[index].setGone(row.gone);
				rows[index].setValue(asData(row.value));
			}
			auto differences = _builder.initDifferences(unsigned(_news.differences.size()));
			for (unsigned index = 0; index < differences.size(); ++index)
			{
				const store::RowDifference& row = _news.differences[index];
				differences[index].setKey(asText(row.key));
				differences[index].setVersion(row.version);
				differences[index].setBase(row.base);
				differences[index].setDifference(asData(row.difference));
			}
		}
	} // namespace

	NewsBundle readBundle(rpc::NewsBundle::Reader _reader)
	{
		return {readNews(_reader.getNews()), readRoster(_reader.getRoster()), {readTable(_reader.getOperators()), readTable(_reader.getCrashes()), readTable(_reader.getUpstreams())}};
	}

	void writeBundle(rpc::NewsBundle::Builder _builder, const NewsBundle& _bundle)
	{
		writeNews(_builder.initNews(), _bundle.news);
		writeRoster(_builder.initRoster(), _bundle.roster);
		writeTable(_builder.initOperators(), _bundle.tables.operators);
		writeTable(_builder.initCrashes(), _bundle.tables.crashes);
		writeTable(_builder.initUpstreams(), _bundle.tables.upstreams);
	}

	HeldVersions readHeld(rpc::HeldVersions::Reader _reader)
	{
		return {_reader.getRosterTerm(), _reader.getRosterVersion(), {_reader.getOperators(), _reader.getCrashes(), _reader.getUpstreams()}};
	}

	void writeHeld(rpc::HeldVersions::Builder _builder, const HeldVersions& _held)
	{
		_builder.setRosterTerm(_held.rosterTerm);
		_builder.setRosterVersion(_held.rosterVersion);
		_builder.setOperators(_held.tables.operators);
		_builder.setCrashes(_held.tables.crashes);
		_builder.setUpstreams(_held.tables.upstreams);
	}

	store::ConfigurationProof readProof(rpc::ConfigurationProof::Reader _reader)
	{
		return {_reader.getStoreTime(), _reader.getChangedAt()};
	}

	void writeProof(rpc::ConfigurationProof::Builder _builder, const store::ConfigurationProof& _proof)
	{
		_builder.setChangedAt(_proof.changedAt);
		_builder.setStoreTime(_proof.storeTime);
	}

	GatewayTally readTally(rpc::GatewayTally::Reader _reader)
	{
		return {_reader.getCount(), readProof(_reader.getProof())};
	}

	void writeTally(rpc::GatewayTally::Builder _builder, const GatewayTally& _tally)
	{
		_builder.setCount(_tally.count);
		writeProof(_builder.initProof(), _tally.proof);
	}

	Roster readRoster(rpc::Roster::Reader _reader)
	{
		Roster roster{_reader.getTerm(), _reader.getVersion(), {}};
		for (const auto engine : _reader.getEngines())
		{
			roster.engines.push_back(readEndpoint(engine));
		}
		return roster;
	}

	void writeRoster(rpc::Roster::Builder _builder, const Roster& _roster)
	{
		_builder.setTerm(_roster.term);
		_builder.setVersion(_roster.version);
		auto engines = _builder.initEngines(unsigned(_roster.engines.size()));
		for (unsigned rank = 0; rank < engines.size(); ++rank)
		{
			writeEndpoint(engines[rank], _roster.engines[rank]);
		}
	}

	GroupNews readNews(rpc::GroupNews::Reader _reader)
	{
		GroupNews news;
		news.coordination = readCoordination(_reader.getCoordination());
		news.number = _reader.getNumber();
		news.ageMs = _reader.getAgeMs();
		news.open = _reader.getOpen();
		news.passMs = _reader.getPassMs();
		news.rosterTerm = _reader.getRosterTerm();
		news.rosterVersion = _reader.getRosterVersion();
		news.loads.assign(_reader.getLoads().begin(), _reader.getLoads().end());
		for (const auto rank : _reader.getPaces())
		{
			news.paces.push_back({rank.getRank(), rank.getPace()});
		}
		news.gateways = _reader.getGateways();
		news.proof = readProof(_reader.getProof());
		return news;
	}

	void writeNews(rpc::GroupNews::Builder _builder, const GroupNews& _news)
	{
		writeCoordination(_builder.initCoordination(), _news.coordination);
		_builder.setNumber(_news.number);
		_builder.setAgeMs(std::uint32_t(_news.ageMs));
		_builder.setOpen(_news.open);
		_builder.setPassMs(float(_news.passMs));
		_builder.setRosterTerm(_news.rosterTerm);
		_builder.setRosterVersion(_news.rosterVersion);
		_builder.setLoads(kj::arrayPtr(_news.loads.data(), _news.loads.size()));
		auto paces = _builder.initPaces(unsigned(_news.paces.size()));
		for (unsigned index = 0; index < paces.size(); ++index)
		{
			paces[index].setRank(std::uint16_t(_news.paces[index].rank));
			paces[index].setPace(float(_news.paces[index].pace));
		}
		_builder.setGateways(_news.gateways);
		writeProof(_builder.initProof(), _news.proof);
	}
} // namespace archdyke::group
