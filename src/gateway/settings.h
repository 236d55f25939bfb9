/// Settings of archdyke-gateway and archdyke-sidecar: JSON with comments, checked. Fields
/// that nobody knows are passed over, since a deployment may fill in more.
#pragma once

#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke::gateway
{
	/// Bounds that the deployment sets.
	struct Bounds
	{
		Millis revocationMs = 5'000;   ///< A withdrawn key works no longer than this.
		bool strictRevocation = true;  ///< Also while the store can't be reached.
		Millis changeMs = 2'000;       ///< What operators ask for, or an upstream that leaves, is acted on within this.
		Millis graceMs = 8'000;        ///< From the stop signal to the kill.
		double retryRatio = 0.2;       ///< Resends for each request, over all gateways.
		Millis retryWindowMs = 10'000; ///< Length of the window in which resends are counted.
		double retryAllowance = 0.0;   ///< Resends of a window beyond the ratio, over all gateways.
		Millis stallMs = 1'500;        ///< A group with a lost member stands still this long.
		Millis evacuationMs = 5'000;   ///< An evacuated zone gets nothing after this.
		double coldOvershoot = 1.0;    ///< Arrivals that a cold upstream survives, against those that it bears.
		double coldAllowance = 0.0;    ///< Arrivals of a second that it survives beyond that.

		bool operator==(const Bounds&) const = default;
	};

	/// What both daemons know of where they run.
	struct Place
	{
		std::string name;
		std::string zone;
		std::string ip;
		int peerPort = 0;       ///< Where the daemons of the deployment talk to each other; alike on all machines.
		std::string metrics;    ///< IP:port of counters, histograms and state dump.
		std::string store;      ///< IP:port of the metadata store.
		double linkMbps = 20.0; ///< Of the VM, both ways.

		bool operator==(const Place&) const = default;
	};

	/// Settings of archdyke-gateway.
	struct GatewaySettings
	{
		Place place;
		std::string callers;   ///< IP:port where callers are served.
		std::string readiness; ///< IP:port of the readiness answer.
		Bounds bounds;
		bool firstStart = false; ///< The whole system starts for the first time: there is nothing to serve yet.

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

	/// Both read a file.
	/// @throws InvalidInputError Listing all that is wrong.
	GatewaySettings loadGatewaySettings(const std::string& _path);
	SidecarSettings loadSidecarSettings(const std::string& _path);
} // namespace archdyke::gateway
