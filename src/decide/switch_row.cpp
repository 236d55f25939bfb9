/// The row of a group as text: a head in JSON, then the maps in bytes.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "archdyke/errors.h"
#include "archdyke/forward_switch.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		/// Ends the JSON head of a row; the maps follow as bytes, since a row is written twice a
		/// switch over the link of a small VM, and JSON of a map of 63 ranks took 40 ms of it.
		constexpr char kHeadEnd = '\n';
		constexpr unsigned kBitsPerByte = 7; ///< Of a number: the eighth says that more follow.
		constexpr std::uint8_t kMoreFollow = 0x80;

		InvalidInputError unreadable(const std::string& _part, const std::string& _problem)
		{
			return InvalidInputError("row of a group", {{_part, _problem, "remove the row; the next coordinator writes it anew"}});
		}

		/// Appends a number, its lowest bits first, in as few bytes as it needs.
		void putNumber(std::string& _bytes, std::uint64_t _number)
		{
			while (kMoreFollow <= _number)
			{
				_bytes += char(std::uint8_t(_number) | kMoreFollow);
				_number >>= kBitsPerByte;
			}
			_bytes += char(_number);
		}

		/// @param[in,out] _bytes Shortened by what is read.
		std::uint64_t takeNumber(std::string_view& _bytes)
		{
			constexpr unsigned kMostShift = 63;
			std::uint64_t number = 0;
			for (unsigned shift = 0; !_bytes.empty() && shift <= kMostShift; shift += kBitsPerByte)
			{
				const auto byte = std::uint8_t(_bytes.front());
				_bytes.remove_prefix(1);
				number |= std::uint64_t(byte & ~kMoreFollow) << shift;
				if (0 == (byte & kMoreFollow))
				{
					return number;
				}
			}
			throw unreadable("map", "ends within a number");
		}

		bool haveOneSize(const ExpertHosts& _a, const ExpertHosts& _b)
		{
			return !_a.empty() && _a.size() == _b.size() && _a.front().size() == _b.front().size();
		}

		/// @returns Bytes: the number of sets, that of experts of a set, and of each expert the number
		/// of its hosts and the hosts; number 0 for an expert that has the hosts of _base.
		std::string encodeHosts(const ExpertHosts& _hosts, const ExpertHosts& _base)
		{
			std::string bytes;
			const std::size_t experts = _hosts.empty() ? 0 : _hosts.front().size();
			const bool based = haveOneSize(_hosts, _base);
			putNumber(bytes, _hosts.size());
			putNumber(bytes, experts);
			for (std::size_t set = 0; set < _hosts.size(); ++set)
			{
				for (std::size_t expert = 0; expert < experts; ++expert)
				{
					const std::vector<std::uint32_t>& ranks = _hosts[set][expert];
					const bool same = based && ranks == _base[set][expert];
					putNumber(bytes, same ? 0 : ranks.size());
					for (std::size_t index = 0; !same && index < ranks.size(); ++index)
					{
						putNumber(bytes, ranks[index]);
					}
				}
			}
			return bytes;
		}

		/// @param[in,out] _bytes What encodeHosts gave; shortened by what is read.
		ExpertHosts decodeHosts(std::string_view& _bytes, const ExpertHosts& _base)
		{
			const std::uint64_t sets = takeNumber(_bytes);
			const std::uint64_t experts = takeNumber(_bytes);
			if (0 < sets && (0 == experts || sets > _bytes.size() / experts)) // each expert has a byte at least
			{
				throw unreadable("map", "is shorter than it says");
			}
			ExpertHosts hosts;
			for (std::uint64_t set = 0; set < sets; ++set)
			{
				std::vector<std::vector<std::uint32_t>> layer;
				for (std::uint64_t expert = 0; expert < experts; ++expert)
				{
					const std::uint64_t count = takeNumber(_bytes);
					const bool based = 0 == count && set < _base.size() && expert < _base[set].size();
					std::vector<std::uint32_t> ranks = based ? _base[set][expert] : std::vector<std::uint32_t>();
					for (std::uint64_t index = 0; index < count; ++index)
					{
						ranks.push_back(std::uint32_t(takeNumber(_bytes)));
					}
					layer.push_back(std::move(ranks));
				}
				hosts.push_back(std::move(layer));
			}
			return hosts;
		}
	} // namespace

	std::string encodeIntent(const SwitchIntent& _intent)
	{
		const Json head{{"term", _intent.term}, {"coordinator", _intent.coordinator}, {"phase", std::string(toString(_intent.phase))}, {"epoch", _intent.epoch}, {"version", _intent.version}, {"boundary", _intent.boundary}, {"inForceVersion", _intent.inForceVersion}};
		return head.dump() + kHeadEnd + encodeHosts(_intent.inForce, {}) + encodeHosts(_intent.map, _intent.inForce);
	}

	SwitchIntent decodeIntent(const std::string& _text)
	{
		try
		{
			const std::size_t end = std::min(_text.find(kHeadEnd), _text.size());
			const Json json = Json::parse(_text.substr(0, end));
			SwitchIntent intent;
			intent.term = json.at("term").get<std::uint64_t>();
			intent.coordinator = json.at("coordinator").get<std::string>();
			for (const SwitchPhase phase : {SwitchPhase::Idle, SwitchPhase::Holding, SwitchPhase::Switching})
			{
				intent.phase = json.at("phase").get<std::string>() == toString(phase) ? phase : intent.phase;
			}
			intent.epoch = json.at("epoch").get<std::uint64_t>();
			intent.version = json.at("version").get<std::uint64_t>();
			intent.boundary = json.at("boundary").get<std::uint64_t>();
			intent.inForceVersion = json.at("inForceVersion").get<std::uint64_t>();
			std::string_view maps = std::string_view(_text).substr(std::min(end + 1, _text.size()));
			intent.inForce = decodeHosts(maps, {});
			intent.map = decodeHosts(maps, intent.inForce);
			return intent;
		}
		catch (const Json::exception& error)
		{
			throw unreadable("row", error.what());
		}
	}
} // namespace archdyke
