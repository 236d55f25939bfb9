#include "archdyke/text_difference.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <xxhash.h>

#include "archdyke/text.h"

namespace archdyke
{
	namespace
	{
		/// Length of the blocks by which common ranges are found.
		constexpr std::size_t kBlockBytes = 32;
		/// Maximum size of a result, so that a malformed delta can't exhaust the memory.
		constexpr std::uint64_t kMaxTargetBytes = 64'000'000;
		constexpr unsigned kGroupBits = 7; ///< Bits of a variable-length number per byte.
		constexpr unsigned char kContinuationBit = 0x80;
		constexpr std::size_t kHashBytes = sizeof(std::uint64_t);

		/// A range that both texts have in common.
		struct CommonRange
		{
			std::size_t inBase = 0;
			std::size_t inTarget = 0;
			std::size_t length = 0; ///< 0: no range.
		};

		void appendNumber(std::string& _out, std::uint64_t _number)
		{
			while (kContinuationBit <= _number)
			{
				_out += char((_number & (kContinuationBit - 1U)) | kContinuationBit);
				_number >>= kGroupBits;
			}
			_out += char(_number);
		}

		std::optional<std::uint64_t> readNumber(std::string_view& _in)
		{
			std::uint64_t number = 0;
			for (unsigned shift = 0; shift < 64 && !_in.empty(); shift += kGroupBits)
			{
				const auto byte = static_cast<unsigned char>(_in.front());
				_in.remove_prefix(1);
				number |= std::uint64_t(byte & (kContinuationBit - 1U)) << shift;
				if (0 == (byte & kContinuationBit))
				{
					return number;
				}
			}
			return std::nullopt;
		}

		/// @returns The hash of a text in canonical byte order.
		std::string hashOf(std::string_view _text)
		{
			const XXH64_hash_t hash = XXH64(_text.data(), _text.size(), 0);
			XXH64_canonical_t bytes;
			XXH64_canonicalFromHash(&bytes, hash);
			return {reinterpret_cast<const char*>(bytes.digest), kHashBytes};
		}

		using Blocks = absl::flat_hash_map<absl::string_view, std::size_t>;

		Blocks indexBlocks(std::string_view _base)
		{
			Blocks blocks;
			for (std::size_t offset = 0; offset + kBlockBytes <= _base.size(); offset += kBlockBytes)
			{
				blocks.try_emplace(asAbsl(_base.substr(offset, kBlockBytes)), offset);
			}
			return blocks;
		}

		/// Extends a common block in both directions, but not before _from in the target.
		CommonRange extendRange(std::string_view _base, std::string_view _target, CommonRange _block, std::size_t _from)
		{
			while (_from < _block.inTarget && 0 < _block.inBase && _base[_block.inBase - 1] == _target[_block.inTarget - 1])
			{
				_block = {_block.inBase - 1, _block.inTarget - 1, _block.length + 1};
			}
			std::size_t baseEnd = _block.inBase + _block.length;
			std::size_t targetEnd = _block.inTarget + _block.length;
			while (baseEnd < _base.size() && targetEnd < _target.size() && _base[baseEnd] == _target[targetEnd])
			{
				baseEnd += 1;
				targetEnd += 1;
			}
			_block.length = targetEnd - _block.inTarget;
			return _block;
		}

		/// @returns The next common range at or after an offset of the target.
		CommonRange findNextRange(const Blocks& _blocks, std::string_view _base, std::string_view _target, std::size_t _from)
		{
			for (std::size_t at = _from; at + kBlockBytes <= _target.size(); ++at)
			{
				const auto found = _blocks.find(asAbsl(_target.substr(at, kBlockBytes)));
				if (_blocks.end() != found)
				{
					return extendRange(_base, _target, {found->second, at, kBlockBytes}, _from);
				}
			}
			return {0, _target.size(), 0};
		}
	} // namespace

	std::string makeTextDifference(std::string_view _base, std::string_view _target)
	{
		std::string difference = hashOf(_target);
		const Blocks blocks = indexBlocks(_base);
		std::size_t at = 0;
		while (at < _target.size())
		{
			const CommonRange range = findNextRange(blocks, _base, _target, at);
			const std::string_view literal = _target.substr(at, range.inTarget - at);
			appendNumber(difference, literal.size());
			difference += literal;
			appendNumber(difference, range.inBase);
			appendNumber(difference, range.length);
			at = range.inTarget + range.length;
		}
		return difference;
	}

	std::optional<std::string> applyTextDifference(std::string_view _base, std::string_view _difference)
	{
		if (_difference.size() < kHashBytes)
		{
			return std::nullopt;
		}
		const std::string_view hash = _difference.substr(0, kHashBytes);
		_difference.remove_prefix(kHashBytes);
		std::string target;
		while (!_difference.empty())
		{
			const std::optional<std::uint64_t> literal = readNumber(_difference);
			if (!literal || *literal > _difference.size())
			{
				return std::nullopt;
			}
			target += _difference.substr(0, *literal);
			_difference.remove_prefix(*literal);
			const std::optional<std::uint64_t> from = readNumber(_difference);
			const std::optional<std::uint64_t> length = readNumber(_difference);
			const bool fits = from && length && *from <= _base.size() && *length <= _base.size() - *from && target.size() + *length <= kMaxTargetBytes;
			if (!fits)
			{
				return std::nullopt;
			}
			target += _base.substr(*from, *length);
		}
		return hashOf(target) == hash ? std::optional(std::move(target)) : std::nullopt;
	}
} // namespace archdyke
