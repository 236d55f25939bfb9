#include "base/settings.h"

#include "base/settings_reader.h"

namespace archdyke
{
	namespace
	{
		constexpr std::int64_t kMaxSlots = 1024;
		constexpr double kMinMemoryMb = 16.0;
		constexpr double kMaxMemoryMb = 1e6;

		UpstreamSettings readUpstream(ObjectReader& _reader)
		{
			UpstreamSettings settings;
			settings.kind = 0 == _reader.choice("kind", {"model", "plain"}) ? ServiceKind::Model : ServiceKind::Plain;
			settings.address = readAddress(_reader, "address");
			settings.slots = std::uint32_t(_reader.integerOr("slots", 1, kMaxSlots, 16));
			settings.checksFence = _reader.flagOr("checksFence", true);
			return settings;
		}
	} // namespace

	EntrySettings loadEntrySettings(const std::string& _path)
	{
		return loadSettings<EntrySettings>(_path, UnknownFields::Refuse, [](ObjectReader& _reader) {
			EntrySettings settings;
			settings.name = _reader.text("name");
			settings.zone = _reader.text("zone");
			settings.http = readAddress(_reader, "http");
			settings.rpc = readAddress(_reader, "rpc");
			settings.admin = readAddress(_reader, "admin");
			settings.memoryMb = _reader.numberOr("memoryMb", kMinMemoryMb, kMaxMemoryMb, settings.memoryMb);
			settings.platform = readAddress(_reader, "platform");
			for (const std::string& peer : _reader.texts("peers"))
			{
				settings.peers.push_back(checkAddress(_reader, "peers", peer));
			}
			return settings;
		});
	}

	AgentSettings loadAgentSettings(const std::string& _path)
	{
		return loadSettings<AgentSettings>(_path, UnknownFields::Refuse, [](ObjectReader& _reader) {
			AgentSettings settings;
			settings.name = _reader.text("name");
			settings.zone = _reader.text("zone");
			settings.rpc = readAddress(_reader, "rpc");
			settings.admin = readAddress(_reader, "admin");
			settings.memoryMb = _reader.numberOr("memoryMb", kMinMemoryMb, kMaxMemoryMb, settings.memoryMb);
			bool isFound = false;
			_reader.object("upstream", [&](ObjectReader& _upstream) {
				isFound = true;
				settings.upstream = readUpstream(_upstream);
			});
			if (!isFound)
			{
				_reader.problem("upstream", "nothing", "add an object with the fields kind and address");
			}
			return settings;
		});
	}
} // namespace archdyke
