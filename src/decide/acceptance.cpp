#include "archdyke/acceptance.h"

#include <algorithm>

namespace archdyke
{
	bool isNewer(const HeldConfig& _held, const ConfigMark& _head)
	{
		return _head.version > _held.head.version;
	}

	bool adoptHead(HeldConfig& _held, const ConfigMark& _head)
	{
		if (!isNewer(_held, _head))
		{
			return false;
		}
		_held.head = _head;
		if (_held.staged.version <= _head.version)
		{
			_held.staged = {};
		}
		return true;
	}

	bool recordStaged(HeldConfig& _held, const ConfigMark& _staged)
	{
		if (_staged.version <= _held.head.version || _held.staged == _staged)
		{
			return false;
		}
		_held.staged = _staged;
		return true;
	}

	bool mayConfirmStaged(const HeldConfig& _held, const std::vector<PeerConfig>& _zonePeers, const ConfigMark& _staged)
	{
		if (_held.staged != _staged)
		{
			return false;
		}
		return std::all_of(_zonePeers.begin(), _zonePeers.end(), [&](const PeerConfig& _peer) {
			return _peer.staged == _staged || _peer.head.version >= _staged.version;
		});
	}

	AcceptanceStatus checkAcceptance(const StageRow& _stage, const std::vector<std::string>& _zonesWithEntries, const std::vector<ZoneConfirmation>& _confirmations)
	{
		AcceptanceStatus view;
		for (const std::string& zone : _zonesWithEntries)
		{
			const bool confirmed = std::any_of(_confirmations.begin(), _confirmations.end(), [&](const ZoneConfirmation& _confirmation) {
				return zone == _confirmation.zone && _stage.mark == _confirmation.mark && _stage.nonce == _confirmation.nonce;
			});
			if (!confirmed)
			{
				view.missing.push_back(zone);
			}
		}
		return view;
	}

	std::optional<ApplyEnd> resolveHeadUpdate(const StageRow& _stage, const std::optional<std::string>& _accepted)
	{
		if (!_accepted)
		{
			return std::nullopt;
		}
		return _stage.nonce == *_accepted ? ApplyEnd::Accepted : ApplyEnd::Conflict;
	}
} // namespace archdyke
