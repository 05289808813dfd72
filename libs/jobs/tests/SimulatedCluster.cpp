#include "SimulatedCluster.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace Balsammill::Test {

namespace {

const FailureDomain domain { "Malaybalay" };

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

JobKey testKey(const std::string& id) { return makeJobKey(ClientAccountName { "team" }, domain, JobId { id }); }

SimulatedCluster::SimulatedCluster(std::size_t count, std::function<void(JobLedgerOptions&)> adjust)
    : adjust_(std::move(adjust))
{
    nodes.resize(count);
    for (std::size_t node = 0; node < count; ++node) {
        nodes[node].id = { VmName { "entry-" + std::to_string(node) }, Incarnation { 100 } };
        create(node);
    }
    publishViews();
}

void SimulatedCluster::create(std::size_t node)
{
    JobLedgerOptions options { .self = nodes[node].id, .domain = domain, .shards = 1 };
    if (adjust_)
        adjust_(options);
    nodes[node].ledger = std::make_unique<JobLedger>(options);
}

MemberView SimulatedCluster::viewOf(std::size_t node) const
{
    MemberView view { nodes[node].id, domain, {}, false, nodes[node].leaving };
    for (std::size_t other = 0; other < nodes.size(); ++other) {
        if (other == node)
            continue;
        const auto& peer = nodes[other];
        const auto foundOverride = nodes[node].livenessOverrides.find(peer.id.vm.value);
        const auto defaultLiveness = peer.running && !peer.paused ? Liveness::Alive : Liveness::Dead;
        const auto liveness
            = foundOverride == nodes[node].livenessOverrides.end() ? defaultLiveness : foundOverride->second;
        view.members.push_back({ peer.id, domain, {}, liveness, peer.leaving, {}, {} });
    }
    return view;
}

void SimulatedCluster::publishViews()
{
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        if (nodes[node].running && !nodes[node].paused)
            apply(node, nodes[node].ledger->memberViewChanged(viewOf(node), time));
    }
}

void SimulatedCluster::apply(std::size_t node, JobActions actions)
{
    for (auto& action : actions) {
        std::visit(Overloaded {
                       [&](SendPeer& send) {
                           messages.push_back({ nodes[node].id, send.to, send.message });
                       },
                       [&](StartJob& start) {
                           const auto id = jobIdOf(start.key).value;
                           started.push_back({ node, id });
                           toComplete_.emplace_back(node, id);
                       },
                       [&](CancelJob& cancel) { canceled.emplace_back(node, jobIdOf(cancel.key).value); },
                       [&](AnswerWaiters& answer) {
                           for (const auto waiter : answer.waiters)
                               answers.insert_or_assign(waiter, answer.answer);
                       },
                       [&](RedirectWaiter& redirect) { redirects[redirect.waiter] = redirect.primary; },
                       [&](ReadRecord&) { nodes[node].tableRequests.push_back(action); },
                       [&](WriteRecord&) { nodes[node].tableRequests.push_back(action); },
                   },
            action);
    }
}

void SimulatedCluster::serve(std::size_t node, const ReadRecord& read)
{
    RecordRead result = RecordMissing {};
    const auto found = table_.find(read.shard.value);
    if (found != table_.end())
        result = RecordFound { found->second.record, found->second.tag };
    if (fault == TableFault::NotSent)
        result = RecordUnavailable {};
    apply(node, nodes[node].ledger->recordRead(read.shard, result, time));
}

bool SimulatedCluster::writeIfCurrent(const WriteRecord& write)
{
    const auto found = table_.find(write.shard.value);
    const auto current = found == table_.end() ? std::nullopt : std::optional(found->second.tag);
    if (current != write.expectedTag)
        return false;
    const auto parsed = parseShardRecord(formatShardRecord(write.record));
    REQUIRE(parsed == write.record);
    table_[write.shard.value] = { *parsed, "tag-" + std::to_string(nextTag_++) };
    history.push_back(*parsed);
    return true;
}

void SimulatedCluster::serve(std::size_t node, const WriteRecord& write)
{
    RecordWrite result = RecordInDoubt {};
    if (fault == TableFault::NotSent)
        result = RecordNotSent {};
    else if (fault == TableFault::Late)
        lateWrites_.push_back(write);
    else if (fault == TableFault::AnswerLost)
        writeIfCurrent(write);
    else if (fault == TableFault::None && writeIfCurrent(write))
        result = RecordWritten { table_[write.shard.value].tag };
    else if (fault == TableFault::None)
        result = RecordConflict {};
    apply(node, nodes[node].ledger->recordWritten(write.shard, result, time));
}

void SimulatedCluster::applyLateWrites()
{
    for (const auto& write : std::exchange(lateWrites_, {}))
        writeIfCurrent(write);
}

void SimulatedCluster::serveTable(std::size_t node)
{
    auto& requests = nodes[node].tableRequests;
    while (!requests.empty() && nodes[node].running && !nodes[node].paused) {
        const auto request = requests.front();
        requests.pop_front();
        if (const auto* read = std::get_if<ReadRecord>(&request))
            serve(node, *read);
        else
            serve(node, std::get<WriteRecord>(request));
    }
}

bool SimulatedCluster::deliverable(const SentMessage& sent) const
{
    if (held && held(sent))
        return false;
    const auto& target = nodes[nodeOf(sent.to)];
    return !(target.running && target.paused);
}

bool SimulatedCluster::isCut(const SentMessage& sent) const
{
    return cuts_.contains({ nodeOf(sent.from), nodeOf(sent.to) });
}

void SimulatedCluster::partition(std::size_t first, std::size_t second, bool cut)
{
    for (const auto& [from, to] : { std::pair(first, second), std::pair(second, first) }) {
        const auto vm = nodes[to].id.vm.value;
        if (cut) {
            cuts_.emplace(from, to);
            nodes[from].livenessOverrides[vm] = Liveness::Dead;
        } else {
            cuts_.erase({ from, to });
            nodes[from].livenessOverrides.erase(vm);
        }
    }
    publishViews();
}

void SimulatedCluster::waitForPair()
{
    REQUIRE(runUntil([this] { return primary() && backup(); }));
    // Runs until startupGrace is over, during which neither primary nor backup is considered lost.
    run(std::chrono::seconds(2));
}

bool SimulatedCluster::deliverOne(std::size_t position)
{
    if (position >= messages.size() || !deliverable(messages[position]))
        return false;
    const auto sent = messages[position];
    messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(position));
    const auto target = nodeOf(sent.to);
    if (!nodes[target].running || isCut(sent) || (dropped && dropped(sent)))
        return true;
    apply(target, nodes[target].ledger->peerMessage(sent.from, sent.message, time));
    return true;
}

void SimulatedCluster::deliverAll()
{
    for (bool progress = true; progress;) {
        progress = false;
        for (std::size_t position = 0; position < messages.size();) {
            if (deliverOne(position))
                progress = true;
            else
                ++position;
        }
        for (std::size_t node = 0; node < nodes.size(); ++node)
            serveTable(node);
        if (!autoComplete)
            continue;
        for (const auto& [node, id] : std::exchange(toComplete_, {})) {
            if (nodes[node].running && !nodes[node].paused)
                complete(node, id);
        }
    }
}

void SimulatedCluster::tickNode(std::size_t node)
{
    if (nodes[node].running && !nodes[node].paused)
        apply(node, nodes[node].ledger->tick(time));
}

void SimulatedCluster::run(Duration duration)
{
    constexpr Duration step = std::chrono::milliseconds(50);
    for (const auto end = time.now + duration; time.now < end;) {
        time.now += step;
        time.wallClockMs += 50;
        for (std::size_t node = 0; node < nodes.size(); ++node)
            tickNode(node);
        deliverAll();
    }
}

bool SimulatedCluster::runUntil(const std::function<bool()>& condition, Duration limit)
{
    for (const auto end = time.now + limit; !condition();) {
        if (time.now >= end)
            return false;
        run(std::chrono::milliseconds(50));
    }
    return true;
}

RequestId SimulatedCluster::submit(std::size_t node, const std::string& id, const std::string& content)
{
    auto request = std::make_shared<balsammill::v1::SubmitRequest>();
    request->set_job_id(id);
    request->set_method("tanim.v1.Tanim/TalaLog");
    request->add_tasks(content);
    const RequestId waiter { nextWaiter_++ };
    JobSubmission submission { JobId { id }, testKey(id), contentDigest(*request), request, waiter };
    apply(node, nodes[node].ledger->submit(std::move(submission), time));
    return waiter;
}

RequestId SimulatedCluster::get(std::size_t node, const std::string& id)
{
    const RequestId waiter { nextWaiter_++ };
    apply(node, nodes[node].ledger->get({ JobId { id }, testKey(id), waiter }, time));
    return waiter;
}

RequestId SimulatedCluster::cancel(std::size_t node, const std::string& id)
{
    const RequestId waiter { nextWaiter_++ };
    apply(node, nodes[node].ledger->cancel({ JobId { id }, testKey(id), waiter }, time));
    return waiter;
}

void SimulatedCluster::complete(std::size_t node, const std::string& id)
{
    balsammill::v1::JobResult result;
    result.set_job_id(id);
    result.set_state(balsammill::v1::JOB_STATE_COMPLETE);
    result.add_answers("answer of " + id);
    result.set_verdict(balsammill::v1::VERDICT_RAN);
    apply(node, nodes[node].ledger->outcome(testKey(id), result, time));
}

void SimulatedCluster::stop(std::size_t node)
{
    nodes[node].running = false;
    nodes[node].tableRequests.clear();
    publishViews();
}

void SimulatedCluster::restart(std::size_t node)
{
    std::erase_if(toComplete_, [node](const auto& entry) { return entry.first == node; });
    nodes[node].id.incarnation.value += 1000;
    nodes[node].running = true;
    nodes[node].paused = false;
    nodes[node].tableRequests.clear();
    create(node);
    publishViews();
}

void SimulatedCluster::pause(std::size_t node)
{
    nodes[node].paused = true;
    publishViews();
}

void SimulatedCluster::resume(std::size_t node)
{
    nodes[node].paused = false;
    publishViews();
}

std::size_t SimulatedCluster::nodeOf(const ProcessId& process) const
{
    const auto found
        = std::find_if(nodes.begin(), nodes.end(), [&process](const Node& node) { return node.id.vm == process.vm; });
    return static_cast<std::size_t>(found - nodes.begin());
}

ShardRecord SimulatedCluster::tableRecord() const
{
    const auto found = table_.find(0);
    return found == table_.end() ? ShardRecord {} : found->second.record;
}

std::optional<std::size_t> SimulatedCluster::primary() const
{
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        if (nodes[node].running && !nodes[node].paused && role(node) == ShardRoleKind::Primary)
            return node;
    }
    return std::nullopt;
}

std::optional<std::size_t> SimulatedCluster::backup() const
{
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        if (nodes[node].running && role(node) == ShardRoleKind::Backup)
            return node;
    }
    return std::nullopt;
}

std::size_t SimulatedCluster::third() const { return nodes.size() - *primary() - *backup(); }

std::size_t SimulatedCluster::starts(const std::string& id) const
{
    return static_cast<std::size_t>(
        std::count_if(started.begin(), started.end(), [&id](const Start& start) { return start.id == id; }));
}

const JobAnswer* SimulatedCluster::answer(RequestId waiter) const
{
    const auto found = answers.find(waiter);
    return found == answers.end() ? nullptr : &found->second;
}

balsammill::v1::JobState SimulatedCluster::state(RequestId waiter) const
{
    const auto* storedAnswer = answer(waiter);
    const auto* result = storedAnswer ? std::get_if<balsammill::v1::JobResult>(storedAnswer) : nullptr;
    return result ? result->state() : balsammill::v1::JOB_STATE_UNSPECIFIED;
}

RpcErrorDetails SimulatedCluster::error(RequestId waiter) const
{
    const auto* storedAnswer = answer(waiter);
    REQUIRE(storedAnswer != nullptr);
    REQUIRE(std::holds_alternative<RpcErrorDetails>(*storedAnswer));
    return std::get<RpcErrorDetails>(*storedAnswer);
}

} // namespace Balsammill::Test
