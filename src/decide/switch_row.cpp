/// The row of a group as text: a head in JSON, then the maps in bytes.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "archdyke/errors.h"
#include "archdyke/forward_switch.h"
#include "archdyke/map_window.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		/// Ends the JSON head of a row; the maps follow as bytes, and by what differs from the map that
		/// groups form with and from the map in force, since a row is written in each switch over the
		/// link of a small VM: JSON of a map of 63 ranks took 40 ms of it, whole maps of 129 ranks 27 ms.
		constexpr char kHeadEnd = '\n';
		constexpr unsigned kBitsPerByte = 7; ///< Of a number: the eighth says that more follow.
		constexpr std::uint8_t kMoreFollow = 0x80;
		/// Experts of all sets, and ranks: beyond this a row isn't one, and would fill the memory.
		constexpr std::uint64_t kMostExperts = 1'000'000;

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

		/// @returns The map of one size with _hosts that groups form with; most maps differ little from it.
		ExpertHosts dealtLike(const ExpertHosts& _hosts, std::uint64_t _ranks)
		{
			return _hosts.empty() || 0 == _ranks ? ExpertHosts() : dealtInTurn(std::uint32_t(_hosts.size()), std::uint32_t(_hosts.front().size()), std::uint32_t(_ranks));
		}

		/// @returns Ranks that a map names, at least.
		std::uint64_t ranksOf(const ExpertHosts& _hosts)
		{
			std::uint64_t ranks = 0;
			for (const auto& set : _hosts)
			{
				for (const std::vector<std::uint32_t>& hosts : set)
				{
					ranks = hosts.empty() ? ranks : std::max<std::uint64_t>(ranks, 1 + *std::max_element(hosts.begin(), hosts.end()));
				}
			}
			return ranks;
		}

		/// Appends the number of hosts and the hosts of each expert; for experts that have the hosts of
		/// _base 0, and how many more of them follow.
		void putHosts(std::string& _bytes, const ExpertHosts& _hosts, const ExpertHosts& _base)
		{
			const bool based = haveOneSize(_hosts, _base);
			std::uint64_t same = 0;
			const auto endRun = [&] {
				if (0 < same)
				{
					putNumber(_bytes, 0);
					putNumber(_bytes, same - 1);
					same = 0;
				}
			};
			for (std::size_t set = 0; set < _hosts.size(); ++set)
			{
				for (std::size_t expert = 0; expert < _hosts[set].size(); ++expert)
				{
					const std::vector<std::uint32_t>& ranks = _hosts[set][expert];
					if (based ? ranks == _base[set][expert] : ranks.empty())
					{
						same += 1;
						continue;
					}
					endRun();
					putNumber(_bytes, ranks.size());
					for (const std::uint32_t rank : ranks)
					{
						putNumber(_bytes, rank);
					}
				}
			}
			endRun();
		}

		/// @returns Bytes: the number of sets, that of experts of a set, and their hosts.
		std::string encodeHosts(const ExpertHosts& _hosts, const ExpertHosts& _base)
		{
			std::string bytes;
			putNumber(bytes, _hosts.size());
			putNumber(bytes, _hosts.empty() ? 0 : _hosts.front().size());
			putHosts(bytes, _hosts, _base);
			return bytes;
		}

		/// @param[in,out] _bytes What encodeHosts gave; shortened by what is read.
		/// @param[in] _baseOf The base of a map with so many sets and experts.
		template <typename BaseOf>
		ExpertHosts decodeHosts(std::string_view& _bytes, BaseOf _baseOf)
		{
			const std::uint64_t sets = takeNumber(_bytes);
			const std::uint64_t experts = takeNumber(_bytes);
			if (kMostExperts < sets || (0 < sets && experts > kMostExperts / sets))
			{
				throw unreadable("map", "has more experts than any group");
			}
			ExpertHosts hosts(sets, std::vector<std::vector<std::uint32_t>>(experts));
			const ExpertHosts base = _baseOf(hosts);
			const bool based = haveOneSize(hosts, base);
			std::uint64_t same = 0;
			for (std::uint64_t index = 0; index < sets * experts; ++index)
			{
				std::vector<std::uint32_t>& ranks = hosts[index / experts][index % experts];
				const std::uint64_t count = 0 < same ? 0 : takeNumber(_bytes);
				if (0 == count)
				{
					same = 0 < same ? same - 1 : takeNumber(_bytes);
					ranks = based ? base[index / experts][index % experts] : ranks;
					continue;
				}
				for (std::uint64_t host = 0; host < count; ++host)
				{
					ranks.push_back(std::uint32_t(takeNumber(_bytes)));
				}
			}
			if (0 < same)
			{
				throw unreadable("map", "has more experts than it says");
			}
			return hosts;
		}
	} // namespace

	std::string encodeIntent(const SwitchIntent& _intent)
	{
		Json head{{"term", _intent.term}, {"coordinator", _intent.coordinator}, {"phase", std::string(toString(_intent.phase))}, {"epoch", _intent.epoch}, {"version", _intent.version}, {"boundary", _intent.boundary}, {"inForceVersion", _intent.inForceVersion}};
		if (_intent.last)
		{
			head["last"] = *_intent.last;
		}
		const std::uint64_t ranks = ranksOf(_intent.inForce);
		std::string bytes = head.dump() + kHeadEnd;
		putNumber(bytes, ranks);
		return bytes + encodeHosts(_intent.inForce, dealtLike(_intent.inForce, ranks)) + encodeHosts(_intent.map, _intent.inForce);
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
			intent.last = json.contains("last") ? std::optional(json.at("last").get<std::uint32_t>()) : std::nullopt;
			std::string_view maps = std::string_view(_text).substr(std::min(end + 1, _text.size()));
			const std::uint64_t ranks = takeNumber(maps);
			if (kMostExperts < ranks)
			{
				throw unreadable("map", "has more ranks than any group");
			}
			intent.inForce = decodeHosts(maps, [ranks](const ExpertHosts& _hosts) {
				return dealtLike(_hosts, ranks);
			});
			intent.map = decodeHosts(maps, [&intent](const ExpertHosts&) {
				return intent.inForce;
			});
			return intent;
		}
		catch (const Json::exception& error)
		{
			throw unreadable("row", error.what());
		}
	}
} // namespace archdyke
