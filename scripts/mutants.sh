#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time in a scratch copy and runs the tests that should
# fail. Prints for each mutant whether they did.
#   scripts/mutants.sh [NAME]    runs only this mutant
# ARCHDYKE_MUTANTS: directory of the scratch copy, which is then kept.
set -euo pipefail
cd "$(dirname "$0")/.."
source=$PWD
copy=${ARCHDYKE_MUTANTS:-$(mktemp -d)}
only=${1:-}
missed=0
mkdir -p "$copy"

# mutant NAME TESTS FILE SEARCH REPLACE [SEARCH REPLACE]...
mutant()
{
	local name=$1 tests=$2 file=$3
	shift 3
	[ -z "$only" ] || [ "$only" = "$name" ] || return 0
	[ -f "$copy/CMakeLists.txt" ] || tar -C "$source" --exclude=./build --exclude=./.git -cf - . | tar -C "$copy" -xf -
	while [ $# -gt 0 ]; do
		SEARCH=$1 REPLACE=$2 perl -0pi -e 's/\Q$ENV{SEARCH}\E/$ENV{REPLACE}/ or die "not found: $ENV{SEARCH}\n"' "$copy/$file"
		shift 2
	done
	(cd "$copy" && { [ -f build/release/build.ninja ] || cmake --preset release >/dev/null; } && cmake --build --preset release >build.log 2>&1) || { echo "$name: does not build"; tail -n 5 "$copy/build.log"; missed=1; cp "$source/$file" "$copy/$file"; return 0; }
	if (cd "$copy" && ctest --test-dir build/release -R "^($tests)\$" >test.log 2>&1); then
		echo "$name: NOT NOTICED by $tests"
		missed=1
	else
		echo "$name: noticed by $(sed -nE 's/.*- ([a-z_]+) \((Failed|Timeout)\)/\1/p' "$copy/test.log" | paste -sd' ' -)"
	fi
	cp "$source/$file" "$copy/$file"
}

mutant relay-takes-any-frame "relay_.*|path_a_reset_link_resumes_the_stream" src/decide/relay.cpp \
	'if (_frame.offset > _state.nextOffset)' 'if (false)' \
	'const std::uint64_t skip = _state.nextOffset - _frame.offset;' 'const std::uint64_t skip = 0;'
mutant broken-stream-ends-cleanly "path_a_killed_agent_breaks_the_stream_visibly" src/entry/entry_http.cpp \
	'_sink.write(event.data(), event.size());
			this->recordOutcome(*_exchange, error.response.outcome);
			return false;' '_sink.done();
			this->recordOutcome(*_exchange, error.response.outcome);
			return true;'
mutant no-session-floor "ledger_.*|outcome_a_late_copy_on_an_old_connection_never_runs" src/decide/ledger.cpp \
	'return _ledger.floors.end() != it && _session.number < it->second.number;' 'return false && _ledger.floors.end() != it;' \
	'_ledger.runs[_key.requestId].push_back({_key.attempt, RunState::Revoked});
			_ledger.ended.push_back({_key, _now});
			return RevokeState::NotRun;' 'return RevokeState::NotRun;'
mutant lost-link-means-not-run "outcome_a_lost_verdict_is_never_told_as_not_run" src/entry/request_reconnect.cpp \
	'const std::optional<RevokeState> state = this->revokeUntilAnswered(_until);' 'const std::optional<RevokeState> state = RevokeState::NotRun;'
mutant no-claims "once_the_same_key_through_two_entries_runs_once|once_an_entry_killed_after_its_claim_leaves_the_key_in_doubt" src/entry/entry_http.cpp \
	'if (_exchange.request.repeatable || _exchange.caller.idempotencyKey.empty())' 'if (true)'
mutant retry-whatever-is-proved "retry_.*|outcome_seeded_faults_at_random_moments|outcome_frozen_and_killed_agents_are_never_told_as_not_run" src/decide/retry.cpp \
	'const bool mayRepeat = ExecutionProof::NotRun == _try.proof || _try.repeatable;' 'const bool mayRepeat = true;'
mutant commit-on-own-vote "mapswitch_.*|map_agents_killed_in_a_switch_recover_their_vote|map_frozen_and_cut_agents_keep_the_group_on_one_map" src/decide/mapswitch.cpp \
	'const bool all = !_switch.votes.empty() && std::all_of(_switch.votes.begin(), _switch.votes.end(), is(MapVote::Yes));' 'const bool all = !_switch.votes.empty() && MapVote::Yes == _switch.votes[_switch.rank];'
mutant head-moves-first "config_a_zone_cut_from_the_platform_learns_from_its_peers|config_a_zone_cut_from_all_serves_and_is_waited_for" src/operator/apply.cpp \
	'const std::vector<std::string> missing = waitForZones(client, _options, stage);' 'const std::vector<std::string> missing;
		(void)waitForZones;'
mutant no-pause-guard "config_a_paused_entry_serves_nothing_old" src/base/pause_guard.cpp \
	'return this->refreshedCount == this->pauseCount;' 'return 0 != this->refreshedCount;'
mutant older-version-taken "acceptance_.*" src/decide/acceptance.cpp \
	'return _head.version > _held.head.version;' 'return _head.version != _held.head.version;'
mutant leaving-agent-takes-work "leaving_a_draining_agent_refuses_whatever_the_entries_know" src/decide/ledger.cpp \
	'if (_ledger.leaving)' 'if (false)'
mutant list-takes-leaving-back "membership_.*|leaving_a_list_that_says_live_again_changes_nothing" src/decide/membership.cpp \
	'&& _member.incarnation != _member.leavingIncarnation' ''
mutant stop-at-once "stopping_agents_stop_without_cutting_anything" src/agent/agent_main.cpp \
	'while (nowMs() < deadline && (nowMs() < noticeEnd || 0 < this->unfinishedRuns()))' 'while (false && nowMs() < deadline && nowMs() < noticeEnd)' \
	'				this->runs->stop();
' '				std::_Exit(0);
				this->runs->stop();
'
mutant gateway-trusts-old-keys "gateway_keys_hold_only_while_the_newest_configuration_is_proved|gateway_an_unreadable_configuration_leaves_keys_unproved" src/decide/key_permission.cpp \
	'if (_check.proofRequired && !isProved)' 'if (false)'
mutant gateway-calls-silence-not-run "gateway_what_may_have_run_is_never_reported_as_not_run_nor_run_twice" src/gateway/relay.cpp \
	'failed(ExecutionProof::Unknown, "no_answer_head")' 'failed(ExecutionProof::NotRun, "no_answer_head")'
mutant gateway-takes-any-answer "gateway_a_response_to_another_request_is_skipped" src/gateway/relay_response.cpp \
	'if (info.requestId == _context.caller.id)' 'if (true)'
mutant gateway-takes-older-configurations "gateway_an_older_configuration_is_never_taken" src/gateway/watch_rows.cpp \
	'if (catalog.version <= held)' 'if (false)'
mutant gateway-sends-to-leaving-upstreams "gateway_a_leaving_upstream_gets_nothing_new|soak_a_short_seed_has_no_violations" src/gateway/board.cpp \
	'return !_upstream.leavingSince && !_upstream.superseded;' 'return !_upstream.superseded;'
mutant group-goes-on-without-a-rank "forward_a_coordinator_that_takes_over_gives_no_first_arm_while_a_rank_is_out_of_reach" src/decide/forward_switch.cpp \
	'allInReach || anyArmed ?' 'allInReach || !anyArmed || anyArmed ?'
mutant group-uses-a-boundary-again "forward_.*" src/decide/forward_switch.cpp \
	'return std::max(newestStep(_ranks) + _marginSteps, _intent.boundary + 1);' 'return newestStep(_ranks) + _marginSteps;'
mutant versions-without-an-era "storenews_.*|restored_changes_.*" src/store/table_store.h \
	'return (_era << kCounterBits) |' 'return (0 * _era << kCounterBits) |'
mutant gateway-takes-rows-of-a-copy-for-new "restored_an_upstream_that_left_gets_nothing_though_its_row_is_back" src/gateway/watch_rows.cpp \
	'if (fromCopy && this->removedAt.contains(row.key.key))' 'if (false)'
mutant coordinator-takes-the-row-of-a-copy "restored_a_coordinator_goes_on_though_the_copy_has_the_row_of_its_predecessor" src/group/coordinator_row.cpp \
	'if (store::eraOf(this->rowVersion) < _rows.era)' 'if (false)'
mutant follower-asks-for-changes-of-another-era "erastore_.*|restored_changes_under_.*" src/store/era_store.cpp \
	'if (hasBase && eraOf(_since) < this->era.value_or(0))' 'if (false)' \
	'rows.historyTruncated || (hasBase && eraOf(_since) != rows.era)' 'rows.historyTruncated'
mutant zones-go-back-with-the-store "restored_an_evacuated_zone_stays_evacuated_until_the_operator_can_have_repeated_it" src/gateway/watch_rows.cpp \
	'		if (isFromCopy(_rows, _known))' '		if (false && isFromCopy(_rows, _known))'
mutant lost-crashes-stay-lost "gateway_crashes_that_a_restored_store_lacks_are_published_again" src/gateway/watch_rows.cpp \
	'publishLostCrashes(this->state.crashes);' ''
mutant map-in-use-stays-unknown "restored_a_group_whose_coordinator_is_killed_after_a_restoration_goes_on_without_a_split" src/group/coordinator_restored.cpp \
	'this->recoverMap(this->views(kViewMaxAgeMs));' ''
mutant terms-are-given-out-twice "forward_a_take_over_after_a_restoration_.*|restored_a_take_over_.*" src/decide/switch_history.cpp \
	'return _eraBefore < _era ?' 'return false && _eraBefore < _era ?'
mutant lost-holds-are-released-at-once "forward_a_hold_of_a_lost_switch_.*|restored_a_hold_.*" src/decide/switch_history.cpp \
	'if (_quietMs < kMaxOrderDelayMs)' 'if (false)'
mutant gateway-takes-proofs-of-another-row "evacuation_.*" src/decide/evacuation.cpp \
	'return _table.knownVersion < _changedAt;' 'return false;'
mutant gateway-trusts-old-news "group_gateways_read_the_store_themselves_without_a_coordinator" src/gateway/watch_news.cpp \
	'constexpr Millis kMaxUpdateAgeMs = 700;' 'constexpr Millis kMaxUpdateAgeMs = 700'"'"'000;' \
	'constexpr double kMaxNewsAgeShareOfChange = 0.6;' 'constexpr double kMaxNewsAgeShareOfChange = 600.0;'
mutant sidecar-takes-over-from-a-living-coordinator "group_ranks_that_start_together_agree_on_one_coordinator" src/group/sidecar.cpp \
	'if (!this->coordinatorTimedOut())
					{
						continue; // a coordinator was heard while the engine was asked' 'if (false)
					{
						continue; // a coordinator was heard while the engine was asked' \
	'if (!this->coordinatorTimedOut())
					{
						co_return; // a coordinator was heard while the row was read' 'if (false)
					{
						co_return; // a coordinator was heard while the row was read'
mutant planner-ignores-paces "mappolicy_a_slow_rank_is_given_less" src/decide/map_policy.cpp \
	'input.paces = _paces;' ''
mutant gateway-sends-to-evacuated-zones "gatewayevacuation_an_evacuated_zone_gets_nothing_until_it_is_taken_back" src/gateway/board.cpp \
	'isServing(_upstream) && !_upstream.evacuated' 'isServing(_upstream)'
mutant gateway-floods-cold-upstreams "gateway_a_cold_upstream_gets_its_share_of_a_flood_and_the_rest_is_refused_at_once" src/gateway/board_limits.cpp \
	'(!isColdLimited(_upstream, _now) || maySendCold(_upstream.cold, *_upstream.coldSends, _now))' 'true'
mutant gateway-ignores-back-off "gateway_an_upstream_that_asks_to_be_sent_nothing_gets_nothing_for_so_long" src/gateway/board_limits.cpp \
	'acceptsRequests(_upstream) && !isBackedOff(_upstream, _now);' 'acceptsRequests(_upstream);'
mutant gateway-ignores-named-limits "gateway_an_upstream_that_names_a_limit_gets_no_more_from_all_gateways_together" src/gateway/board_limits.cpp \
	'!isAtNamedLimit(_upstream, _now) && ' ''
mutant gateway-keeps-a-named-limit-alone "upstreamlimit_.*|gateway_an_upstream_that_names_a_limit_gets_no_more_from_all_gateways_together" src/decide/upstream_limit.cpp \
	'std::max<double>(1.0, _terms.gateways)' '1.0'
mutant turns-start-anew "upstreamlimit_.*" src/decide/upstream_limit.cpp \
	'_limit.phase = phase - std::floor(phase);' '_limit.phase = 0.0;'
mutant gateway-ignores-own-leave "gateway_an_upstream_that_says_in_an_answer_that_it_leaves_gets_nothing_new" src/gateway/relay_response.cpp \
	'if (_info.leaving && !_info.wrongIncarnation)' 'if (false)'
mutant gateway-tells-nobody-of-crashes "gateway_all_of_many_gateways_refuse_a_request_soon_after_its_third_crash" src/gateway/crash_teller.cpp \
	'if (!isWriteDue(record, now) ||' 'if (true ||'
mutant gateway-clears-nobody-of-crashes "gateway_bystanders_of_crashes_are_served_and_cleared" src/gateway/crashes.cpp \
	'recordCompletion(record.runs, hash, now);' 'return;'
mutant gateway-blames-no-parts "gateway_a_part_that_ended_five_upstreams_reaches_no_more_in_other_requests" src/gateway/crashes.cpp \
	'index + 1 < _caller.prompt.size()' 'index + 1 < 0 * _caller.prompt.size()'
mutant gateway-takes-unframed-responses-for-whole "gateway_a_part_that_ends_streams_with_their_connection_is_refused" src/gateway/dispatch.cpp \
	'result.endedByConnection ? recordUnframedResponse(_context, upstream) : recordCompletedRun(_context);' 'recordCompletedRun(_context);'
mutant blame-is-never-explained "crashblame_blame_narrows_.*|gateway_sound_requests_that_share_.*" src/decide/crash_blame.cpp \
	'while (kStrayCrashes < unexplained.size())' 'return false; while (kStrayCrashes < unexplained.size())'
mutant power-failures-count-for-each-upstream "crashblame_runs_that_were_under_way_together_.*" src/decide/crash_blame.cpp \
	'return _later.startedAt < _earlier.at &&' 'return false && _later.startedAt < _earlier.at &&'
mutant entries-hear-no-crashes-from-agents "crashagent_entries_without_the_platform_refuse_a_call_that_crashed_services" src/entry/crash_record.cpp \
	'if (!cleared && !this->cleared.contains(crash))' 'if (false)'
mutant entries-read-no-crashes "crashrecord_.*|crashagent_restarted_entries_.*" src/entry/crash_record.cpp \
	'for (const Crash& crash : _rows)' 'for (const Crash& crash : std::vector<Crash>())'
mutant agent-takes-silence-for-life "upstreamcall_.*" src/agent/upstream_call.cpp \
	'if (HttpCallEnd::Complete == result.end || result.refused)' 'if (true)'
mutant gateway-takes-joined-heads "answers_.*_late_.*" src/decide/response_head.cpp \
	'if (containsStatusLine(_line.substr(std::min(_line.size(), kStatusEnd))))' 'if (false)'
mutant late-responses-keep-links "groups_late_responses_to_a_search_leave_no_links" src/group/fan_out.cpp \
	'if (isElsewhere(observation.report.engine, group))' 'if (false)'
mutant gateway-waits-for-a-coordinator-that-has-gone "watch_a_change_is_in_force_in_time_after_the_coordinator_has_gone" src/gateway/watch_news.cpp \
	' && coordinated == this->hasRecentUpdate()' ''
mutant gateway-waits-for-no-share "groups_a_gateway_that_just_started_.*" src/gateway/dispatch.cpp \
	'co_await awaitBudget(_context, result);' ''
mutant deadline-by-one-timer "suspend_a_request_whose_deadline_passes_in_a_suspension_ends_when_the_machine_resumes" src/gateway/request.cpp \
	'std::clamp<Millis>(answerAt(_context) - nowMs(), 1, kPollIntervalMs)' 'std::max<Millis>(answerAt(_context) - nowMs(), 1)'
mutant clock-that-sleeps "suspend_keys_expire_on_time_after_a_suspension" src/base/process.cpp \
	'CLOCK_BOOTTIME' 'CLOCK_MONOTONIC'
mutant short-memory-closes-nobody "crowds_whole_bodies_to_a_slow_upstream|crowds_bodies_in_large_chunks_that_stop_short" src/http/resource_budget.cpp \
	'this->held - this->closing <= limit ? nullptr : this->findVictim(_holder)' 'true || this->held - this->closing <= limit ? nullptr : this->findVictim(_holder)' \
	'return this->closing || this->budget.isOver();' 'return false;'
mutant requests-behind-keep-places "crowds_chunks_of_one_byte_behind_a_running_request" src/http/resource_budget.cpp \
	'(!runs || holder->behind)' '!runs'
mutant peers-are-not-charged "sidecarcrowds_messages_that_stop_short" src/rpc/peer_server.cpp \
	'this->incoming.set(done);' ''
mutant slow-peers-are-not-read-again "officecrowds_readers_of_long_answers_who_read_slowly" src/rpc/peer_server.cpp \
	'this->waking = kj::evalLater([this] {' 'this->waking = kj::Promise<void>(kj::NEVER_DONE).then([this] {'
mutant http-ports-close-nobody "officecrowds_chunks_at_an_entry_far_over_the_limit|officecrowds_bodies_at_the_admin_port_of_an_agent" src/base/connection_registry.cpp \
	'while (limit < this->held - this->closing)' 'while (false && limit < this->held - this->closing)'
mutant answers-are-not-charged-when-they-come "officecrowds_readers_of_long_answers_at_an_entry_of_little_memory" src/base/connection_registry.cpp \
	'holder.arrived += _bytes;
		this->setBytes(holder, holder.bytes + kResponseCopies * _bytes);' 'holder.arrived += _bytes;'
mutant answers-of-runs-are-not-charged "officecrowds_readers_of_long_answers_who_read_slowly" src/agent/run_memory.cpp \
	'if (most < before + _bytes)' 'if (false && most < before + _bytes)'
mutant names-without-a-proof "keys_a_public_route_names_no_organisation_on_a_proof_that_is_too_old" src/decide/key_permission.cpp \
	'return _check.isKnown && isProved ? KeyPermission::Named : KeyPermission::Anonymous;' 'return _check.isKnown ? KeyPermission::Named : KeyPermission::Anonymous;'
mutant crashes-go-by-organisations "keys_a_request_that_crashes_upstreams_is_the_same_whatever_its_key_is_taken_for" src/gateway/crashes.cpp \
	'return _context.route->isPublic ? _context.caller.key : _context.organisation;' 'return _context.organisation;'
mutant resends-without-permission "keys_a_resend_.*|plannedstop_a_resend_that_may_not_end_in_time_is_not_made" src/gateway/dispatch.cpp \
	' && !refuseSend(_context);' ';'
mutant late-bodies-are-passed-on "plannedstop_bodies_that_end_late_are_refused_as_not_run" src/gateway/caller_server.cpp \
	'body.exclusiveJoin(kj::mv(stopping))' 'body' \
	'&& !mayRead(this->state.stop, nowMs())' '&& false'
mutant stops-cut-what-is-at-work "plannedstop_requests_at_work_at_the_end_are_answered" src/gateway/request.cpp \
	'return stop && !_context.headSent ?' 'return false && stop && !_context.headSent ?'
mutant entries-wait-for-bodies "stopping_an_entry_refuses_bodies_that_end_late|stopping_an_agent_does_not_wait_for_clients_of_its_admin_port" src/base/socket_stream.cpp \
	'return from <= now && kStopReadMs < now - std::max(from, this->begunAt);' 'return false && from <= now;'
mutant peers-announce-any-message "endlesscallers_a_message_of_a_peer_takes_little_memory" src/rpc/rpc_client.cpp \
	'options.traversalLimitInWords = kMaxMessageBytes / sizeof(capnp::word);' ''
mutant any-end-completes-a-body-without-length "connectionend_.*|early_a_.*|soak_long_requests_that_are_answered_early_cause_no_violations" src/decide/connection_end.cpp \
	'return FinState::Received == _end.fin ||' 'return true || FinState::Received == _end.fin ||'
mutant a-reset-is-taken-for-a-fin "connectionend_.*|early_a_.*" src/base/socket_end.cpp \
	'if (_readBytes + 1 == info.tcpi_bytes_received)' 'if (_readBytes <= info.tcpi_bytes_received)'
mutant only-written-requests-have-responses-without-length "connectionend_.*|early_a_response_without_length_that_a_fin_ends_during_the_upload_is_passed_on" src/decide/connection_end.cpp \
	'return FinState::Received == _end.fin || (FinState::Unknown == _end.fin && _end.requestWritten);' 'return FinState::Missing != _end.fin && _end.requestWritten;'
mutant trailers-have-any-names "earlycalls_a_trailer_that_is_not_valid_is_no_response" src/base/response_reader.cpp \
	'if (!this->interim && this->hasInvalidTrailer())' 'if (false)'
mutant any-three-digits-are-a-status "early_a_head_that_is_not_valid_is_no_response|earlycalls_a_head_that_is_not_valid_is_no_response|earlyexchange_a_head_that_is_not_valid_is_no_response" src/decide/response_head.cpp \
	'kLastStatusClass >= _line[kStatusBegin] && ' ''
mutant soak-sends-to-leaving-upstreams "soak_.*" src/gateway/board.cpp \
	'return !_upstream.leavingSince && !_upstream.superseded;' 'return !_upstream.superseded;'
[ -n "${ARCHDYKE_MUTANTS:-}" ] || rm -rf "$copy"
exit $missed
