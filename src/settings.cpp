#include "settings.h"

#include "archdyke/fields.h"
#include "http_server.h"
#include "process.h"

namespace archdyke
{
	namespace
	{
		constexpr std::int64_t kMaxSlots = 1024;

		std::string checkAddress(ObjectReader& _reader, const std::string& _field, const std::string& _text)
		{
			try
			{
				parseAddress(_text);
			}
			catch (const InvalidInputError& error)
			{
				_reader.problem(_field, "\"" + _text + "\"", error.problems.front().remedy);
			}
			return _text;
		}

		std::string readAddress(ObjectReader& _reader, const std::string& _field)
		{
			const std::string text = _reader.text(_field);
			return text.empty() ? text : checkAddress(_reader, _field, text);
		}

		template <typename Settings, typename Read>
		Settings load(const std::string& _path, Read _read)
		{
			const nlohmann::json json = parseJson(_path, readFile(_path));
			std::vector<Problem> problems;
			ObjectReader reader(json, "", problems);
			Settings settings = _read(reader);
			reader.finish();
			if (!problems.empty())
			{
				throw InvalidInputError(_path, std::move(problems));
			}
			return settings;
		}

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
		return load<EntrySettings>(_path, [](ObjectReader& _reader) {
			EntrySettings settings;
			settings.name = _reader.text("name");
			settings.zone = _reader.text("zone");
			settings.http = readAddress(_reader, "http");
			settings.rpc = readAddress(_reader, "rpc");
			settings.admin = readAddress(_reader, "admin");
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
		return load<AgentSettings>(_path, [](ObjectReader& _reader) {
			AgentSettings settings;
			settings.name = _reader.text("name");
			settings.zone = _reader.text("zone");
			settings.rpc = readAddress(_reader, "rpc");
			settings.admin = readAddress(_reader, "admin");
			bool found = false;
			_reader.object("upstream", [&](ObjectReader& _upstream) {
				found = true;
				settings.upstream = readUpstream(_upstream);
			});
			if (!found)
			{
				_reader.problem("upstream", "nothing", "add an object with kind and address");
			}
			return settings;
		});
	}
} // namespace archdyke
