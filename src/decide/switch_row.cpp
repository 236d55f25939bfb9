/// Encodes the row of a group: a JSON header, followed by the maps in binary.
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

		/// Ends the JSON header of a row. The binary maps follow: the map in force as the difference from the initial
		/// map, and the new map as the difference from the map in force. Every switch writes a row over the link of a
		/// small VM, where a JSON map of 63 ranks took 40 ms and complete binary maps of 129 ranks took 27 ms.
		constexpr char kHeaderEnd = '\n';
		constexpr unsigned kBitsPerByte = 7; ///< Payload bits per byte of a number; the eighth bit is set if more bytes follow.
		constexpr std::uint8_t kContinuationBit = 0x80;
		/// Maximum number of experts over all sets, and of ranks. A row beyond it is invalid, and would exhaust memory.
		constexpr std::uint64_t kMaxExperts = 1'000'000;
		/// Maximum term. A later term has no versions left, and a coordinator could not take over.
		constexpr std::uint64_t kMaxTerm = 1'000'000'000'000;
		/// Maximum epoch, version and step. Larger ones could not rise any more.
		constexpr std::uint64_t kMaxNumber = std::uint64_t(1) << 60;

		InvalidInputError unreadable(const std::string& _part, const std::string& _problem)
		{
			return InvalidInputError("row of a group", {{_part, _problem, "remove the row; the next coordinator writes it anew"}});
		}

		/// Appends a number as a variable-length integer, lowest bits first.
		void appendNumber(std::string& _bytes, std::uint64_t _number)
		{
			while (kContinuationBit <= _number)
			{
				_bytes += char(std::uint8_t(_number) | kContinuationBit);
				_number >>= kBitsPerByte;
			}
			_bytes += char(_number);
		}

		/// Reads a variable-length integer.
		/// @param[in,out] _bytes Shortened by the bytes read.
		std::uint64_t readNumber(std::string_view& _bytes)
		{
			constexpr unsigned kMaxShift = 63;
			std::uint64_t number = 0;
			for (unsigned shift = 0; !_bytes.empty() && shift <= kMaxShift; shift += kBitsPerByte)
			{
				const auto byte = std::uint8_t(_bytes.front());
				_bytes.remove_prefix(1);
				number |= std::uint64_t(byte & ~kContinuationBit) << shift;
				if (0 == (byte & kContinuationBit))
				{
					return number;
				}
			}
			throw unreadable("map", "ends within a number");
		}

		std::uint64_t readRank(std::string_view& _bytes)
		{
			const std::uint64_t rank = readNumber(_bytes);
			if (kMaxExperts <= rank)
			{
				throw unreadable("map", "has a rank that no group has");
			}
			return rank;
		}

		/// Reads a number of the header without converting other kinds of numbers.
		std::uint64_t readHeaderNumber(const Json& _header, const char* _field, std::uint64_t _max = kMaxNumber)
		{
			const Json& value = _header.at(_field);
			if (!value.is_number_unsigned() || _max < value.get<std::uint64_t>())
			{
				throw unreadable(_field, "isn't a nonnegative integer, or is too large");
			}
			return value.get<std::uint64_t>();
		}

		bool haveSameSize(const ExpertHosts& _a, const ExpertHosts& _b)
		{
			return !_a.empty() && _a.size() == _b.size() && _a.front().size() == _b.front().size();
		}

		/// @returns The initial map with the dimensions of _hosts; most maps differ little from it.
		ExpertHosts initialMapLike(const ExpertHosts& _hosts, std::uint64_t _ranks)
		{
			return _hosts.empty() || 0 == _ranks ? ExpertHosts() : roundRobinMap(std::uint32_t(_hosts.size()), std::uint32_t(_hosts.front().size()), std::uint32_t(_ranks));
		}

		/// @returns Highest rank in a map plus 1; 0 for an empty map.
		std::uint64_t rankCountOf(const ExpertHosts& _hosts)
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

		/// Appends the number of hosts and the hosts of each expert. A run of experts with the same hosts as in _base is
		/// written as 0 and the length of the run minus 1.
		void appendHosts(std::string& _bytes, const ExpertHosts& _hosts, const ExpertHosts& _base)
		{
			const bool based = haveSameSize(_hosts, _base);
			std::uint64_t same = 0;
			const auto endRun = [&] {
				if (0 < same)
				{
					appendNumber(_bytes, 0);
					appendNumber(_bytes, same - 1);
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
					appendNumber(_bytes, ranks.size());
					for (const std::uint32_t rank : ranks)
					{
						appendNumber(_bytes, rank);
					}
				}
			}
			endRun();
		}

		/// @returns The encoded map: number of sets, number of experts per set, and their hosts.
		std::string encodeHosts(const ExpertHosts& _hosts, const ExpertHosts& _base)
		{
			std::string bytes;
			appendNumber(bytes, _hosts.size());
			appendNumber(bytes, _hosts.empty() ? 0 : _hosts.front().size());
			appendHosts(bytes, _hosts, _base);
			return bytes;
		}

		/// Decodes a map.
		/// @param[in,out] _bytes Output of encodeHosts; shortened by the bytes read.
		/// @param[in] _baseOf Returns the base for a map of given dimensions.
		template <typename BaseOf>
		ExpertHosts decodeHosts(std::string_view& _bytes, BaseOf _baseOf)
		{
			const std::uint64_t sets = readNumber(_bytes);
			const std::uint64_t experts = readNumber(_bytes);
			if (kMaxExperts < sets || (0 < sets && experts > kMaxExperts / sets))
			{
				throw unreadable("map", "has more experts than any group");
			}
			ExpertHosts hosts(sets, std::vector<std::vector<std::uint32_t>>(experts));
			const ExpertHosts base = _baseOf(hosts);
			const bool based = haveSameSize(hosts, base);
			std::uint64_t same = 0;
			for (std::uint64_t index = 0; index < sets * experts; ++index)
			{
				std::vector<std::uint32_t>& ranks = hosts[index / experts][index % experts];
				const std::uint64_t count = 0 < same ? 0 : readNumber(_bytes);
				if (0 == count)
				{
					same = 0 < same ? same - 1 : readNumber(_bytes);
					ranks = based ? base[index / experts][index % experts] : ranks;
					continue;
				}
				for (std::uint64_t host = 0; host < count; ++host)
				{
					ranks.push_back(std::uint32_t(readRank(_bytes)));
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
		Json header{{"term", _intent.term}, {"era", _intent.era}, {"coordinator", _intent.coordinator}, {"phase", std::string(toString(_intent.phase))}, {"epoch", _intent.epoch}, {"version", _intent.version}, {"boundary", _intent.boundary}, {"inForceVersion", _intent.inForceVersion}};
		if (_intent.last)
		{
			header["last"] = *_intent.last;
		}
		const std::uint64_t ranks = rankCountOf(_intent.inForce);
		std::string bytes = header.dump() + kHeaderEnd;
		appendNumber(bytes, ranks);
		return bytes + encodeHosts(_intent.inForce, initialMapLike(_intent.inForce, ranks)) + encodeHosts(_intent.map, _intent.inForce);
	}

	SwitchIntent decodeIntent(const std::string& _text)
	{
		try
		{
			const std::size_t end = std::min(_text.find(kHeaderEnd), _text.size());
			const Json json = Json::parse(_text.substr(0, end));
			SwitchIntent intent;
			intent.term = readHeaderNumber(json, "term", kMaxTerm);
			intent.era = json.contains("era") ? readHeaderNumber(json, "era") : 0;
			intent.coordinator = json.at("coordinator").get<std::string>();
			for (const SwitchPhase phase : {SwitchPhase::Idle, SwitchPhase::Holding, SwitchPhase::Switching})
			{
				intent.phase = json.at("phase").get<std::string>() == toString(phase) ? phase : intent.phase;
			}
			intent.epoch = readHeaderNumber(json, "epoch");
			intent.version = readHeaderNumber(json, "version");
			intent.boundary = readHeaderNumber(json, "boundary");
			intent.inForceVersion = readHeaderNumber(json, "inForceVersion");
			intent.last = json.contains("last") ? std::optional(std::uint32_t(readHeaderNumber(json, "last", kMaxExperts))) : std::nullopt;
			std::string_view maps = std::string_view(_text).substr(std::min(end + 1, _text.size()));
			const std::uint64_t ranks = readNumber(maps);
			if (kMaxExperts < ranks)
			{
				throw unreadable("map", "has more ranks than any group");
			}
			intent.inForce = decodeHosts(maps, [ranks](const ExpertHosts& _hosts) {
				return initialMapLike(_hosts, ranks);
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
