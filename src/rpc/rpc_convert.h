/// Converts between RPC messages and the program's structs.
#pragma once

#include <vector>

#include "archdyke/acceptance.h"
#include "archdyke/crash_blame.h"
#include "generated/rpc.capnp.h"
#include "rpc/run.h"

namespace archdyke
{
	void writeKey(rpc::RunKey::Builder _to, const RunKey& _from);
	RunKey readKey(rpc::RunKey::Reader _from);

	void writeSession(rpc::Session::Builder _to, const Session& _from);
	Session readSession(rpc::Session::Reader _from);

	void writeRun(rpc::RunSpec::Builder _to, const RunSpec& _from, const Session& _session);
	RunSpec readRun(rpc::RunSpec::Reader _from);

	void writeLoad(rpc::LoadReport::Builder _to, const LoadReport& _from);
	LoadReport readLoad(rpc::LoadReport::Reader _from);

	void writeVerdict(rpc::Verdict::Builder _to, const VerdictEvent& _from, const LoadReport& _load);
	VerdictEvent readVerdict(rpc::Verdict::Reader _from);

	void writeFrame(rpc::Frame::Builder _to, const ResponseFrame& _from, const LoadReport& _load);
	ResponseFrame readFrame(rpc::Frame::Reader _from);

	rpc::RevokeState toRpc(RevokeState _state);
	RevokeState fromRpc(rpc::RevokeState _state);

	/// The lists must have as many elements as the vectors.
	void writeCrashes(capnp::List<rpc::UpstreamCrash>::Builder _to, const std::vector<Crash>& _from);
	std::vector<Crash> readCrashes(capnp::List<rpc::UpstreamCrash>::Reader _from);
	void writeRefusals(capnp::List<rpc::RefusedRequest>::Builder _to, const std::vector<RefusedRequest>& _from);
	std::vector<RefusedRequest> readRefusals(capnp::List<rpc::RefusedRequest>::Reader _from);

	void writeMark(rpc::ConfigMark::Builder _to, const ConfigMark& _from);
	ConfigMark readMark(rpc::ConfigMark::Reader _from);
} // namespace archdyke
