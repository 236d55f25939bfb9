# Protocol between archdyke's own processes.
#
# Run scripts/generate.sh after a change. The generated code in src/generated is
# committed, so that a normal build needs no generator.
@0xd1a5c0f2b7e3946d;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("archdyke::rpc");

# Identifies one attempt of one request. A retry of the request has a higher
# attempt number.
struct RunKey
{
	requestId @0 :Text;
	attempt @1 :UInt32;
}

# Identifies a connection of an entry to an agent. The number increases each time
# the entry reconnects to the same agent.
struct Session
{
	entry @0 :UInt64;   # incarnation of the sending entry
	agent @1 :UInt64;   # incarnation of the agent that is addressed
	number @2 :UInt64;
}

struct RunSpec
{
	key @0 :RunKey;
	session @1 :Session;
	organisation @2 :Text;
	weight @3 :UInt32;       # weight of the organisation in the queue
	budgetMs @4 :UInt32;     # time left until the caller's deadline
	repeatable @5 :Bool;
	method @6 :Text;
	path @7 :Text;
	contentType @8 :Text;
	body @9 :Data;
	costTokens @10 :UInt32;  # estimated work
	fingerprint @11 :Text;   # the same for all repeats of a request, through any entry
	parts @12 :List(Text);   # names of the parts of its prompt that other requests may share
}

# An upstream that ended while it ran a request.
struct UpstreamCrash
{
	request @0 :Text;        # fingerprint, or name of a part
	incarnation @1 :Text;    # of the upstream's process
}

# A request that entries refuse because several upstreams crashed under it.
struct RefusedRequest
{
	request @0 :Text;        # fingerprint, or name of a part
	forMs @1 :UInt32;        # time left
}

enum RefusalReason
{
	none @0;
	leaving @1;
	overloaded @2;
	wrongIncarnation @3;
	oldSession @4;
	duplicate @5;
	revoked @6;
	deadline @7;
	crashesUpstreams @8;
}

# Load of an agent, sent with responses and heartbeats.
struct LoadReport
{
	running @0 :UInt32;
	queued @1 :UInt32;
	slots @2 :UInt32;
	leaving @3 :Bool;
	meanRunMs @4 :UInt32;
	incarnation @5 :UInt64;
}

struct Verdict
{
	accepted @0 :Bool;
	reason @1 :RefusalReason;
	retryAfterMs @2 :UInt32;
	load @3 :LoadReport;
}

# A chunk of a response. offset counts bytes of the response body.
struct Frame
{
	key @0 :RunKey;
	offset @1 :UInt64;
	data @2 :Data;
	end @3 :Bool;            # last frame; total is valid
	total @4 :UInt64;        # bytes of the whole body
	status @5 :UInt16;       # HTTP status of the upstream, in every frame
	contentType @6 :Text;
	failed @7 :Bool;         # the upstream aborted the response; the body is incomplete
	load @8 :LoadReport;     # valid in the last frame
	notRun @9 :Bool;         # with failed: it is proved that nothing reached the upstream
	crashed @10 :Text;       # with failed: incarnation of the upstream that ended during the run
}

enum RevokeState
{
	notRun @0;     # proved: the run did not start and never will
	started @1;    # the run started and may have ended
	unknown @2;    # this incarnation has no record that could prove either
}

interface Sink
{
	frame @0 (frame :Frame) -> stream;
}

interface Agent
{
	# Opens a session and closes all older sessions of the same entry.
	# Returns the recent crashes of the agent's upstream, as a heartbeat does.
	hello @0 (session :Session) -> (incarnation :UInt64, load :LoadReport, crashes :List(UpstreamCrash));
	# The agent refuses the named requests until their time is over.
	heartbeat @1 (refused :List(RefusedRequest)) -> (load :LoadReport, crashes :List(UpstreamCrash));
	dispatch @2 (run :RunSpec, sink :Sink) -> (verdict :Verdict);
	revoke @3 (key :RunKey, session :Session) -> (state :RevokeState);
	# Sends the frames of a run again, starting at offset.
	resume @4 (key :RunKey, session :Session, offset :UInt64, sink :Sink) -> (known :Bool);
	cancel @5 (key :RunKey) -> ();
	# Expert maps: planners call report and stageMap. exchangeVotes is called by planners
	# to propose a switch, and by the agents of a group to exchange votes.
	report @6 (withLoad :Bool) -> (report :RankReport);
	stageMap @7 (fence :UInt64, map :Text) -> (done :Bool, report :RankReport);
	exchangeVotes @8 (mine :MapVotes) -> (refusal :UInt16, theirs :MapVotes);
}

struct ConfigMark
{
	version @0 :UInt64;
	digest @1 :Text;
}

# Configuration versions that an entry holds.
struct ConfigState
{
	head @0 :ConfigMark;
	staged @1 :ConfigMark;
	zone @2 :Text;
	name @3 :Text;
	incarnation @4 :UInt64;
	leaving @5 :Bool;
}

interface Peer
{
	exchange @0 (mine :ConfigState) -> (theirs :ConfigState);
	document @1 (digest :Text) -> (found :Bool, bytes :Data);
}

enum MapVote
{
	none @0;
	yes @1;
	no @2;
}

struct MapProposal
{
	group @0 :Text;
	number @1 :UInt64;
	fence @2 :UInt64;
	formation @3 :UInt64;
	fromEpoch @4 :UInt64;
	boundary @5 :UInt64;     # first step that runs on the new map
	digest @6 :UInt64;       # of the new map
	peers @7 :List(Text);    # addresses of the group's agents, by rank
	rank @8 :UInt32;         # of the receiving agent
}

# Votes by rank, as known to the sender.
struct MapVotes
{
	proposal @0 :MapProposal;
	votes @1 :List(MapVote);
	released @2 :Bool;       # the sender's engine has applied the outcome
}

struct RankReport
{
	formation @0 :UInt64;
	epoch @1 :UInt64;
	step @2 :UInt64;
	pending @3 :Bool;        # a proposal is open, or its outcome has not been applied
	highestFence @4 :UInt64;
	staged @5 :UInt64;       # digest of the staged map
	load @6 :Text;           # JSON, on request: token counts and hosts by layer and expert
	lastNumber @7 :UInt64;   # number of the latest known proposal
}
