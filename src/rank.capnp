# What the daemons beside the engine ranks of one group, their coordinator, its relays and the
# gateways say to each other. docs/PLATFORM.md walks a look, an order and a load report through it.
#
# After a change run scripts/generate.sh; the generated code in src/generated is committed.
@0xd3a85e1c7f4b2096;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("archdyke::rpc");

# What a rank's engine was last seen to say of itself.
struct RankReport
{
	service @0 :Text;
	group @1 :Text;         # empty: the engine is in no group
	epoch @2 :UInt64;
	rank @3 :UInt32;
	ranks @4 :UInt32;       # size of the group
	open @5 :Bool;
	step @6 :UInt64;
	map @7 :UInt64;
	prepared @8 :UInt64;    # versions count from 1: 0 for none
	armed @9 :UInt64;       # 0 for none
	held @10 :UInt64;       # 0 for none
	queued @11 :UInt32;
	active @12 :UInt32;
	countsEpoch @13 :UInt64;
	countsSample @14 :UInt64;  # number of this sample; 0: no counts
	countsSince @15 :UInt64;   # number of the sample from which the choices count; 0: a first one
	choices @16 :List(UInt8); # of each expert since then, set by set, shifted right by choicesShift
	choicesShift @17 :UInt8;
	pace @18 :Float32;      # time of a step against the declared one; 1 is as declared
}

# Who coordinates a group.
struct Coordination
{
	term @0 :UInt64;
	address @1 :Text;       # IP:port of the coordinator's process
	storeLost @2 :Bool;     # it can't reach the store
	group @3 :Text;         # which group; a daemon of another one passes it over
}

struct RankOrder
{
	kind @0 :UInt8;         # archdyke::RankOrderKind
	epoch @1 :UInt64;
	version @2 :UInt64;
	step @3 :UInt64;
	map @4 :PlacedExperts;  # of a prepare
}

# A map by its differences from one that the rank's daemon has: that of a version it was given
# before, or, for version 0, the experts dealt to the ranks in turn.
struct PlacedExperts
{
	base @0 :UInt64;
	sets @1 :UInt32;
	experts @2 :UInt32;     # of a set
	ranks @3 :UInt32;
	# A change: 1 bit whether the expert arrives, 8 of the set, 11 of the rank, 12 of the expert.
	changes @4 :List(UInt32);
}

# Where something listens, host byte order.
struct Endpoint
{
	ip @0 :UInt32;
	port @1 :UInt16;
}

# Who is in a group: the addresses at which the engines take requests, by rank.
struct Roster
{
	version @0 :UInt64;      # rises with each change within a term; 0: unknown
	term @1 :UInt64;
	engines @2 :List(Endpoint);
}

# A rank that isn't as declared.
struct RankPace
{
	rank @0 :UInt16;
	pace @1 :Float32;        # see RankReport
}

# What the coordinator tells of its group; relays pass it on. Of two the one with the higher term,
# then the higher number is the newer.
struct GroupNews
{
	coordination @0 :Coordination;
	number @1 :UInt64;       # 0: nothing is known
	ageMs @2 :UInt32;        # since the coordinator made it, as far as those who passed it on know
	open @3 :Bool;
	passMs @4 :Float32;
	rosterTerm @5 :UInt64;   # of the roster that the loads are for
	rosterVersion @6 :UInt64;
	loads @7 :Data;          # requests running and waiting, a byte a rank; 255: not heard lately
	paces @8 :List(RankPace);
	gateways @9 :UInt32;     # that ask the daemons of the group
	proof @10 :ConfigurationProof;
}

# The gateways that ask some daemons, summed up.
struct GatewayTally
{
	count @0 :UInt32;
	proof @1 :ConfigurationProof; # the latest that any of them told
}

# State that several ranks share; all but the step as in RankReport.
struct SharedState
{
	epoch @0 :UInt64;
	ranks @1 :UInt32;
	open @2 :Bool;
	map @3 :UInt64;
	prepared @4 :UInt64;
	armed @5 :UInt64;
	held @6 :UInt64;
	group @7 :Text;
}

# What a relay knows of one of the daemons it was asked for.
struct ChildState
{
	child @0 :UInt16;        # its place in the question
	shared @1 :UInt16;       # its place among the shared states of the answer
	ageMs @2 :UInt16;        # since its daemon told it
	rank @3 :UInt16;
	queued @4 :UInt16;
	active @5 :UInt16;
	stepsAhead @6 :UInt32;   # of the least step of the answer
	pace @7 :Float32;
}

# Orders of one kind, epoch, version and step for some ranks.
struct OrderBatch
{
	order @0 :RankOrder;
	engines @1 :List(Endpoint);
}

struct ChildOutcome
{
	answered @0 :Bool;       # its daemon said what became of the order
	accepted @1 :Bool;
	status @2 :UInt16;
	baseUnknown @3 :Bool;
}

# A row of a table that the coordinator follows in the store.
struct TableRow
{
	key @0 :Text;
	version @1 :UInt64;
	gone @2 :Bool;
	value @3 :Data;
}

# A row by its difference from one that the receiver has.
struct RowDifference
{
	key @0 :Text;
	version @1 :UInt64;
	base @2 :UInt64;            # version of the row that the receiver has
	difference @3 :Data;        # archdyke/text_difference.h
}

# What the coordinator knows of a table.
struct TableNews
{
	storeTime @0 :Int64;        # the store's clock when it had no more than this; 0: nothing is known
	version @1 :UInt64;         # up to which all changes are there
	whole @2 :Bool;             # the rows are all there are; else what changed since the held version
	rows @3 :List(TableRow);
	differences @4 :List(RowDifference);
}

# No change of what operators ask for was newer at a moment of the store's clock.
struct ConfigurationProof
{
	changedAt @0 :UInt64;       # version in the store; 0: nothing is known
	storeTime @1 :Int64;
}

# What somebody has already, so that it isn't told again: versions, 0 for none.
struct HeldVersions
{
	rosterTerm @0 :UInt64;
	rosterVersion @1 :UInt64;
	operators @2 :UInt64;
	crashes @3 :UInt64;
	upstreams @4 :UInt64;
}

# News of a group with what their receiver lacks.
struct NewsBundle
{
	news @0 :GroupNews;
	roster @1 :Roster;          # version 0 when the receiver has it
	operators @2 :TableNews;
	crashes @3 :TableNews;
	upstreams @4 :TableNews;
}

interface RankDaemon
{
	# Asks for the rank's state, and brings the news of the group. A coordinator of an older term is
	# told the newer one.
	# sample: the last sample of counts that the asker has, 0 for none; wanted with counts.
	# held: what the daemon has, so that it is brought what it lacks.
	observe @0 (coordination :Coordination, counts :Bool, sample :UInt64, bundle :NewsBundle)
		-> (newest :Coordination, report :RankReport, gateways :GatewayTally, held :HeldVersions);

	# Asks a relay to observe the daemons of some engines and to tell what it saw of them. It answers
	# once all have answered, or after patienceMs, with what it has.
	# counted: of how many of them, the first ones, to ask the counts; they are summed up.
	relay @1 (coordination :Coordination, engines :List(Endpoint), patienceMs :UInt16, counted :UInt16, bundle :NewsBundle)
		-> (newest :Coordination, tookMs :UInt32, leastStep :UInt64, shared :List(SharedState), children :List(ChildState), choices :RankReport, choicesSpanMs :UInt32, gateways :GatewayTally, held :HeldVersions);

	# Gives the engine an order. A daemon whose engine is in another group orders nothing.
	# accepted: the engine began it or has it already. status: the engine's answer, 0 for none.
	# baseUnknown: the daemon lacks the map that a prepare builds on; nothing was ordered.
	# report: the rank's state after the order, without counts; unset when the engine didn't say.
	order @2 (term :UInt64, order :RankOrder, group :Text) -> (accepted :Bool, status :UInt16, baseUnknown :Bool, report :RankReport);

	# Asks a relay to give the orders to the daemons of some engines, all at once.
	# outcomes: one for each engine of the batch. The rest is as relay answers it.
	relayOrders @3 (coordination :Coordination, batch :OrderBatch, patienceMs :UInt16)
		-> (outcomes :List(ChildOutcome), tookMs :UInt32, leastStep :UInt64, shared :List(SharedState), children :List(ChildState));

	# A gateway asks any daemon of a group for what its coordinator told, and tells its proof.
	# name: of the gateway. The answer brings what the gateway lacks, and says who was heard.
	news @4 (name :Text, held :HeldVersions, proof :ConfigurationProof)
		-> (newest :Coordination, bundle :NewsBundle);

	# A daemon that heard no coordinator asks another one. If that one coordinates the group, it looks
	# at the engine from now on.
	# heardMsAgo: since it last heard a coordinator that reaches the store; it is one itself: 0.
	join @5 (engine :Endpoint, group :Text) -> (newest :Coordination, coordinates :Bool, heardMsAgo :UInt32);
}
