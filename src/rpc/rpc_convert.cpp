#include "rpc/rpc_convert.h"

namespace archdyke
{
	namespace
	{
		capnp::Data::Reader toData(const std::string& _bytes)
		{
			return {reinterpret_cast<const capnp::byte*>(_bytes.data()), _bytes.size()};
		}

		std::string fromData(capnp::Data::Reader _data)
		{
			return {reinterpret_cast<const char*>(_data.begin()), _data.size()};
		}

		std::string fromText(capnp::Text::Reader _text)
		{
			return {_text.cStr(), _text.size()};
		}

		/// The enumeration on the wire has the same order. An unknown value from a newer version
		/// is read as Overloaded, an ordinary refusal.
		RefusalReason fromRpc(rpc::RefusalReason _reason)
		{
			const auto value = static_cast<std::uint16_t>(_reason);
			return value < static_cast<std::uint16_t>(RefusalReason::Count) ? static_cast<RefusalReason>(value) : RefusalReason::Overloaded;
		}
	} // namespace

	void writeKey(rpc::RunKey::Builder _to, const RunKey& _from)
	{
		_to.setRequestId(_from.requestId);
		_to.setAttempt(_from.attempt);
	}

	RunKey readKey(rpc::RunKey::Reader _from)
	{
		return {fromText(_from.getRequestId()), _from.getAttempt()};
	}

	void writeSession(rpc::Session::Builder _to, const Session& _from)
	{
		_to.setEntry(_from.entry);
		_to.setAgent(_from.agent);
		_to.setNumber(_from.number);
	}

	Session readSession(rpc::Session::Reader _from)
	{
		return {_from.getEntry(), _from.getAgent(), _from.getNumber()};
	}

	std::vector<std::string> suspectsOf(const RunSpec& _run)
	{
		std::vector<std::string> suspects{_run.fingerprint};
		suspects.insert(suspects.end(), _run.parts.begin(), _run.parts.end());
		return suspects;
	}

	void writeRun(rpc::RunSpec::Builder _to, const RunSpec& _from, const Session& _session)
	{
		writeKey(_to.initKey(), _from.key);
		writeSession(_to.initSession(), _session);
		_to.setOrganisation(_from.organisation);
		_to.setWeight(_from.weight);
		_to.setBudgetMs(static_cast<std::uint32_t>(_from.budgetMs));
		_to.setRepeatable(_from.repeatable);
		_to.setMethod(_from.method);
		_to.setPath(_from.path);
		_to.setContentType(_from.contentType);
		_to.setBody(toData(_from.body));
		_to.setFingerprint(_from.fingerprint);
		auto parts = _to.initParts(unsigned(_from.parts.size()));
		for (unsigned index = 0; index < parts.size(); ++index)
		{
			parts.set(index, _from.parts[index].c_str());
		}
	}

	RunSpec readRun(rpc::RunSpec::Reader _from)
	{
		RunSpec run;
		run.key = readKey(_from.getKey());
		run.organisation = fromText(_from.getOrganisation());
		run.weight = std::max(1u, _from.getWeight());
		run.budgetMs = _from.getBudgetMs();
		run.repeatable = _from.getRepeatable();
		run.method = fromText(_from.getMethod());
		run.path = fromText(_from.getPath());
		run.contentType = fromText(_from.getContentType());
		run.body = fromData(_from.getBody());
		run.fingerprint = fromText(_from.getFingerprint());
		for (const auto part : _from.getParts())
		{
			run.parts.push_back(fromText(part));
		}
		return run;
	}

	void writeLoad(rpc::LoadReport::Builder _to, const LoadReport& _from)
	{
		_to.setRunning(_from.running);
		_to.setQueued(_from.queued);
		_to.setSlots(_from.slots);
		_to.setLeaving(_from.leaving);
		_to.setMeanRunMs(_from.meanRunMs);
		_to.setIncarnation(_from.incarnation);
	}

	LoadReport readLoad(rpc::LoadReport::Reader _from)
	{
		return {_from.getRunning(), _from.getQueued(), _from.getSlots(), _from.getLeaving(), _from.getMeanRunMs(), _from.getIncarnation()};
	}

	void writeVerdict(rpc::Verdict::Builder _to, const VerdictEvent& _from, const LoadReport& _load)
	{
		_to.setAccepted(_from.accepted);
		_to.setReason(static_cast<rpc::RefusalReason>(_from.reason));
		_to.setRetryAfterMs(static_cast<std::uint32_t>(_from.retryAfterMs));
		writeLoad(_to.initLoad(), _load);
	}

	VerdictEvent readVerdict(rpc::Verdict::Reader _from)
	{
		return {_from.getAccepted(), fromRpc(_from.getReason()), _from.getRetryAfterMs()};
	}

	void writeFrame(rpc::Frame::Builder _to, const ResponseFrame& _from, const LoadReport& _load)
	{
		writeKey(_to.initKey(), _from.head.key);
		_to.setOffset(_from.head.offset);
		_to.setData(toData(_from.bytes));
		_to.setEnd(_from.head.end);
		_to.setTotal(_from.head.total);
		_to.setStatus(static_cast<std::uint16_t>(_from.status));
		_to.setContentType(_from.contentType);
		_to.setFailed(_from.head.failed);
		_to.setNotRun(_from.notRun);
		_to.setCrashed(_from.crashed);
		if (_from.head.end)
		{
			writeLoad(_to.initLoad(), _load);
		}
	}

	ResponseFrame readFrame(rpc::Frame::Reader _from)
	{
		ResponseFrame frame;
		frame.bytes = fromData(_from.getData());
		frame.head = {readKey(_from.getKey()), _from.getOffset(), frame.bytes.size(), _from.getEnd(), _from.getTotal(), _from.getFailed()};
		frame.status = _from.getStatus();
		frame.contentType = fromText(_from.getContentType());
		frame.notRun = _from.getNotRun();
		frame.crashed = fromText(_from.getCrashed());
		return frame;
	}

	rpc::RevokeState toRpc(RevokeState _state)
	{
		switch (_state)
		{
		case RevokeState::NotRun:
			return rpc::RevokeState::NOT_RUN;
		case RevokeState::Started:
			return rpc::RevokeState::STARTED;
		default:
			return rpc::RevokeState::UNKNOWN;
		}
	}

	RevokeState fromRpc(rpc::RevokeState _state)
	{
		switch (_state)
		{
		case rpc::RevokeState::NOT_RUN:
			return RevokeState::NotRun;
		case rpc::RevokeState::STARTED:
			return RevokeState::Started;
		default:
			return RevokeState::Unknown;
		}
	}

	void writeCrashes(capnp::List<rpc::UpstreamCrash>::Builder _to, const std::vector<Crash>& _from)
	{
		for (unsigned index = 0; index < _to.size(); ++index)
		{
			_to[index].setRequest(_from[index].suspect);
			_to[index].setIncarnation(_from[index].incarnation);
		}
	}

	std::vector<Crash> readCrashes(capnp::List<rpc::UpstreamCrash>::Reader _from)
	{
		std::vector<Crash> crashes;
		for (const auto crash : _from)
		{
			crashes.push_back({fromText(crash.getRequest()), fromText(crash.getIncarnation())});
		}
		return crashes;
	}

	void writeRefusals(capnp::List<rpc::RefusedRequest>::Builder _to, const std::vector<RefusedRequest>& _from)
	{
		for (unsigned index = 0; index < _to.size(); ++index)
		{
			_to[index].setRequest(_from[index].request);
			_to[index].setForMs(static_cast<std::uint32_t>(_from[index].remainingMs));
		}
	}

	std::vector<RefusedRequest> readRefusals(capnp::List<rpc::RefusedRequest>::Reader _from)
	{
		std::vector<RefusedRequest> refusals;
		for (const auto refusal : _from)
		{
			refusals.push_back({fromText(refusal.getRequest()), Millis(refusal.getForMs())});
		}
		return refusals;
	}

	void writeMark(rpc::ConfigMark::Builder _to, const ConfigMark& _from)
	{
		_to.setVersion(_from.version);
		_to.setDigest(_from.digest);
	}

	ConfigMark readMark(rpc::ConfigMark::Reader _from)
	{
		return {_from.getVersion(), fromText(_from.getDigest())};
	}
} // namespace archdyke
