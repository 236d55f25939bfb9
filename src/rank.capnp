# What the daemons beside the engine ranks of one group, their coordinator and the gateways
# say to each other.
#
# After a change run scripts/generate.sh; the generated code in src/generated is committed.
@0xb7c1f3a95d204e86;

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

# Load of one rank, by the address at which its engine takes requests.
struct RankLoad
{
	ip @0 :UInt32;          # host byte order
	port @1 :UInt16;
	requests @2 :UInt32;    # running and waiting
	pace @3 :Float32;       # see RankReport
}

# A row of a table that the coordinator follows in the store.
struct TableRow
{
	key @0 :Text;
	version @1 :UInt64;
	gone @2 :Bool;
	value @3 :Data;
}

# What the coordinator knows of a table.
struct TableNews
{
	storeTime @0 :Int64;        # the store's clock when it had no more than this; 0: nothing is known
	version @1 :UInt64;         # up to which all changes are there
	whole @2 :Bool;             # the rows are all there are; else what changed since the asked version
	rows @3 :List(TableRow);
}

# A proof that a configuration is the newest one.
struct ConfigurationProof
{
	rowVersion @0 :UInt64;      # of the row in the store; 0: nothing is known
	storeTime @1 :Int64;        # the store's clock when it was the newest
}

interface RankDaemon
{
	# Asks for the rank's state. A coordinator of an older term is told the newer one.
	# sample: the last sample of counts that the coordinator has, 0 for none; wanted with counts.
	observe @0 (coordination :Coordination, counts :Bool, sample :UInt64) -> (newest :Coordination, report :RankReport);

	# Gives the engine an order. A daemon whose engine is in another group orders nothing.
	# accepted: the engine began it or has it already. status: the engine's answer, 0 for none.
	# baseUnknown: the daemon lacks the map that a prepare builds on; nothing was ordered.
	# report: the rank's state after the order, without counts; unset when the engine didn't say.
	order @1 (term :UInt64, order :RankOrder, group :Text) -> (accepted :Bool, status :UInt16, baseUnknown :Bool, report :RankReport);

	# Asks for the loads of the daemon's group, and for news of the store, so that not each gateway
	# has to ask it. Only the group's coordinator knows them; others name the group and whom they heard.
	# upstreamsSince: version up to which the gateway knows the upstreams; 0 for none.
	# proof: the newest that the gateway has; the answer brings the newest that any gateway told.
	# reader: the gateway is to ask the store for the configuration itself, for the others too.
	loads @2 (gateway :Text, upstreamsSince :UInt64, proof :ConfigurationProof) -> (known :Bool, newest :Coordination, open :Bool, passMs :Float32, gateways :UInt32, ranks :List(RankLoad), proof :ConfigurationProof, reader :Bool, upstreams :TableNews);
}
