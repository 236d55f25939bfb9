/// Settings of archdyke-gateway and archdyke-sidecar: validated JSON with comments. Unknown fields are ignored, since a
/// deployment may add its own.
#pragma once

#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke::gateway
{
	/// Time limits and allowances that the deployment sets.
	struct Bounds
	{
		Millis revocationMs = 5'000;   ///< Maximum time for which a revoked key still works.
		bool strictRevocation = true;  ///< The limit for revoked keys also holds while the store is unreachable.
		Millis changeMs = 2'000;       ///< Maximum time until an operator's change, or an upstream's leaving, takes effect.
		Millis graceMs = 8'000;        ///< Time from the stop signal to the kill signal.
		double retryRatio = 0.2;       ///< Allowed resends per request, over all gateways.
		Millis retryWindowMs = 10'000; ///< Length of the window in which resends are counted.
		double retryAllowance = 0.0;   ///< Allowed resends per window beyond the ratio, over all gateways.
		Millis stallMs = 1'500;        ///< How long a group that lost a member is stalled.
		Millis evacuationMs = 5'000;   ///< Maximum time until an evacuated zone gets no more requests.
		double coldOvershoot = 1.0;    ///< Peak arrivals that a cold upstream survives, relative to its sustained rate.
		double coldAllowance = 0.0;    ///< Further arrivals in a second that it survives.
		Millis limitWindowMs = 4'000;  ///< Span in which the arrivals at an upstream that names a limit are counted.
		double limitOvershoot = 1.5;   ///< Peak arrivals that it survives in this span, relative to its limit.
		double limitAllowance = 5.0;   ///< Further arrivals in this span that it survives.

		bool operator==(const Bounds&) const = default;
	};

	/// Where a daemon runs: settings that both daemons share.
	struct Place
	{
		std::string name;
		std::string zone;
		std::string ip;
		int peerPort = 0;        ///< Port for connections between the daemons of the deployment; the same on all machines.
		std::string metrics;     ///< IP:port where metrics and the state dump are served.
		std::string store;       ///< IP:port of the metadata store.
		double linkMbps = 20.0;  ///< Bandwidth of the VM's network link, in each direction.
		double memoryMb = 256.0; ///< Memory of the VM that this process may use, MiB.

		bool operator==(const Place&) const = default;
	};

	/// Settings of archdyke-gateway.
	struct GatewaySettings
	{
		Place place;
		std::string callers;   ///< IP:port that callers connect to.
		std::string readiness; ///< IP:port of the readiness endpoint.
		Bounds bounds;
		bool firstStart = false; ///< The whole system starts for the first time, and there is nothing to serve yet.

		bool operator==(const GatewaySettings&) const = default;
	};

	/// Settings of archdyke-sidecar.
	struct SidecarSettings
	{
		Place place;
		std::string upstream; ///< IP:port of the engine rank on this VM.
		std::string service;
		Bounds bounds;

		bool operator==(const SidecarSettings&) const = default;
	};

	/// @returns Memory that a process may use, bytes.
	std::size_t memoryBytes(const Place& _place);

	/// Loads settings from a file.
	/// @throws InvalidInputError Lists all errors of the file.
	GatewaySettings loadGatewaySettings(const std::string& _path);
	SidecarSettings loadSidecarSettings(const std::string& _path);
} // namespace archdyke::gateway
