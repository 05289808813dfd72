#include "Platform.hh"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <rapidjson/document.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

constexpr std::int64_t maxHoldMs = 1000;
constexpr std::int64_t stopMs = 10;
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::size_t maxEndsListed = 500;

std::string base64(const std::string& bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t block = 0;
        for (std::size_t j = 0; j < 3; ++j)
            block = (block << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[(block >> (18U - 6U * j)) & 63U] : '=';
    }
    return text;
}

std::string decodeUrl(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string& target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return query;
    std::istringstream rest(target.substr(mark + 1));
    for (std::string pair; std::getline(rest, pair, '&');) {
        const auto equals = pair.find('=');
        if (equals != std::string::npos)
            query[pair.substr(0, equals)] = decodeUrl(pair.substr(equals + 1));
    }
    return query;
}

std::string quote(const std::string& text) { return "\"" + text + "\""; }

} // namespace

std::string jobId(std::uint64_t number)
{
    char text[17];
    // Spread over all home shards.
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>((number + 1) * 0x9E3779B97F4A7C15ULL));
    return text;
}

bool troubled()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w"))
{
}

Record::~Record()
{
    if (file_ != nullptr)
        std::fclose(file_);
}

void Record::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr)
        return;
    std::fprintf(file_, "%7lld %s\n", static_cast<long long>(nowMs()), text.c_str());
    std::fflush(file_);
}

std::size_t Ledger::begin(const std::string& task, std::uint64_t run, const std::string& worker)
{
    const std::lock_guard lock(mutex_);
    entries_.push_back({ .task = task, .run = run, .worker = worker, .startedAt = nowMs() });
    return entries_.size() - 1;
}

void Ledger::end(std::size_t index, const std::string& how)
{
    const std::lock_guard lock(mutex_);
    entries_[index].endedAt = nowMs();
    entries_[index].how = how;
}

void Ledger::note(std::size_t index, bool lapsed)
{
    const std::lock_guard lock(mutex_);
    entries_[index].notedAt = nowMs();
    entries_[index].lapsedBeforeNote = lapsed;
}

std::vector<RunEntry> Ledger::entries() const
{
    const std::lock_guard lock(mutex_);
    return entries_;
}

std::vector<RunEntry> Ledger::runsOf(const std::string& job) const
{
    const std::lock_guard lock(mutex_);
    std::vector<RunEntry> found;
    std::copy_if(entries_.begin(), entries_.end(), std::back_inserter(found),
        [&](const RunEntry& each) { return each.task.rfind(job + ".", 0) == 0; });
    return found;
}

Store::Store()
    : server_(std::make_unique<Server>([this](const Request& request) { return handle(request); }))
{
}

Store::~Store()
{
    closing_ = true;
    changed_.notify_all();
    server_->stop();
    sleepMs(50);
}

bool Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    if (mode_ != Mode::Up)
        return false;
    const std::lock_guard lock(mutex_);
    rows_[{ table, "", key }] = { .value = base64(value), .version = ++version_ };
    changed_.notify_all();
    return true;
}

bool Store::remove(const std::string& table, const std::string& key)
{
    if (mode_ != Mode::Up)
        return false;
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find({ table, "", key });
    if (found != rows_.end())
        found->second = { .value = {}, .version = ++version_, .deleted = true };
    changed_.notify_all();
    return true;
}

std::string Store::rowsText(const std::vector<std::pair<Key, Row>>& rows) const
{
    std::string text = "[";
    for (const auto& [key, row] : rows) {
        if (text.size() > 1)
            text += ",";
        text += "{\"table\":" + quote(std::get<0>(key)) + ",\"part\":" + quote(std::get<1>(key))
            + ",\"key\":" + quote(std::get<2>(key)) + ",\"value\":" + quote(row.value)
            + ",\"ver\":" + std::to_string(row.version) + (row.deleted ? ",\"deleted\":true" : "") + "}";
    }
    return text + "]";
}

Response Store::transact(const std::string& body)
{
    rapidjson::Document json;
    json.Parse(body.data(), body.size());
    const auto keyOf = [](const rapidjson::Value& row) {
        return Key { row["table"].GetString(), row["part"].GetString(), row["key"].GetString() };
    };
    const std::lock_guard lock(mutex_);
    bool holds = true;
    std::vector<std::pair<Key, Row>> current;
    for (const auto& each : json["precondition"].GetArray()) {
        const auto key = keyOf(each);
        const auto found = rows_.find(key);
        const bool exists = found != rows_.end() && !found->second.deleted;
        const auto version = exists ? found->second.version : 0;
        holds = holds && version == each["ver"].GetUint64();
        if (exists)
            current.emplace_back(key, found->second);
    }
    const auto tail = [this] {
        return ",\"ver\":" + std::to_string(version_) + ",\"now_ms\":" + std::to_string(nowMs()) + "}";
    };
    if (!holds)
        return { .status = 412, .body = "{\"rows\":" + rowsText(current) + tail() };
    ++version_;
    for (const auto& each : json["puts"].GetArray())
        rows_[keyOf(each)] = { .value = each["value"].GetString(), .version = version_ };
    for (const auto& each : json["remove"].GetArray()) {
        if (const auto found = rows_.find(keyOf(each)); found != rows_.end())
            found->second = { .value = {}, .version = version_, .deleted = true };
    }
    changed_.notify_all();
    return { .status = 200, .body = "{\"rows\":[]" + tail() };
}

std::optional<Response> Store::handle(const Request& request)
{
    const auto unavailable = [this]() -> std::optional<Response> {
        if (mode_ == Mode::Busy)
            return Response { .status = 503, .body = {} };
        while (mode_ == Mode::Silent && !closing_)
            sleepMs(5);
        return std::nullopt;
    };
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto query = queryOf(request.target);
    const auto parameter = [&](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    sleepMs(path == "/balsammill/rows-tx" ? 6 : 4);
    if (mode_ != Mode::Up)
        return unavailable();
    if (path == "/balsammill/rows-tx")
        return transact(request.body);
    const auto table = parameter("table");
    std::unique_lock lock(mutex_);
    std::vector<std::pair<Key, Row>> rows;
    if (path == "/balsammill/rows-get") {
        const auto limit = parameter("limit").empty() ? std::size_t { 500 } : std::stoul(parameter("limit"));
        bool more = false;
        for (auto it = rows_.lower_bound({ table, parameter("part"), parameter("from") }); it != rows_.end(); ++it) {
            if (std::get<0>(it->first) != table || std::get<1>(it->first) != parameter("part")
                || (!parameter("target").empty() && std::get<2>(it->first) >= parameter("target")))
                break;
            if (it->second.deleted)
                continue;
            more = rows.size() == limit;
            if (more)
                break;
            rows.emplace_back(*it);
        }
        return Response { .status = 200,
            .body = "{\"rows\":" + rowsText(rows) + ",\"has_more\":" + (more ? "true" : "false")
                + ",\"ver\":" + std::to_string(version_) + ",\"now_ms\":" + std::to_string(nowMs()) + "}" };
    }
    if (path != "/balsammill/rows-feed")
        return Response { .status = 404, .body = {} };
    const auto after = std::stoull(parameter("after"));
    const auto until = nowMs() + std::min(std::stoll(parameter("wait_ms")), 30'000LL);
    while (true) {
        for (const auto& [key, row] : rows_) {
            if (std::get<0>(key) == table && row.version > after)
                rows.emplace_back(key, row);
        }
        if (!rows.empty() || nowMs() >= until || closing_ || mode_ != Mode::Up)
            break;
        changed_.wait_for(lock, std::chrono::milliseconds(20));
    }
    if (mode_ != Mode::Up) {
        lock.unlock();
        return unavailable();
    }
    std::sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) { return a.second.version < b.second.version; });
    return Response { .status = 200,
        .body = "{\"rows\":" + rowsText(rows) + ",\"ver\":" + std::to_string(version_)
            + ",\"now_ms\":" + std::to_string(nowMs()) + "}" };
}

Worker::Worker(Ledger& ledger, Record& record, const Options& options)
    : ledger_(ledger)
    , record_(record)
    , options_(options)
    , bornUnixMs_(unixMs())
    , server_(std::make_unique<Server>([this](const Request& request) { return handle(request); }))
{
}

Worker::~Worker()
{
    alive_ = false;
    ended_.notify_all();
    server_->stop();
    sleepMs(5);
}

std::string Worker::registration()
{
    const std::lock_guard lock(mutex_);
    std::string labels;
    for (const auto& label : options_.labels)
        labels += (labels.empty() ? "" : ",") + quote(label);
    return "{\"service\":\"tanim\",\"address\":\"127.0.0.1:" + std::to_string(server_->port())
        + "\",\"zone\":" + quote(options_.zone)
        + ",\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":"
        + std::to_string(++beats_) + ",\"capacity\":{\"cpu\":" + std::to_string(options_.milliCores)
        + ",\"memory_limit_mb\":131072,\"gpu\":0},\"labels\":[" + labels + "],\"born\":" + std::to_string(bornUnixMs_)
        + "}";
}

void Worker::crash()
{
    server_->goDark();
    const std::lock_guard lock(mutex_);
    alive_ = false;
    for (const auto& [task, run] : runs_)
        ledger_.end(run.entry, "gone");
    runs_.clear();
    ended_.notify_all();
}

std::size_t Worker::running()
{
    const std::lock_guard lock(mutex_);
    return runs_.size();
}

std::size_t Worker::endsListed()
{
    const std::lock_guard lock(mutex_);
    return ends_.size();
}

void Worker::endRun(const std::string& task, const std::string& how)
{
    const auto found = runs_.find(task);
    ledger_.end(found->second.entry, how);
    ends_.push_back({ .sequence = ++lastSequence_,
        .task = task,
        .run = found->second.number,
        .how = how,
        .entry = found->second.entry });
    runs_.erase(found);
    ended_.notify_all();
}

void Worker::tick()
{
    const std::lock_guard lock(mutex_);
    if (alive_)
        tickLocked();
}

void Worker::tickLocked()
{
    const auto now = nowMs();
    std::vector<std::pair<std::string, std::string>> due;
    const bool over = now > leaseUntil_;
    for (const auto& [task, run] : runs_) {
        if (run.endAt <= now && run.endAt <= leaseUntil_)
            due.emplace_back(task, "done");
        else if (run.stopAt >= 0 && run.stopAt <= now)
            due.emplace_back(task, "stopped");
        else if (over)
            due.emplace_back(task, "lapsed");
    }
    for (const auto& [task, how] : due)
        endRun(task, how);
    if (over) {
        for (auto& end : ends_)
            end.lapsed = true;
    }
}

std::string Worker::answer(const std::string& reason) const
{
    return "{\"clock_ms\":" + std::to_string(nowMs()) + ",\"born\":" + std::to_string(bornUnixMs_)
        + (reason.empty() ? "" : ",\"reason\":" + quote(reason)) + "}";
}

std::string Worker::report() const
{
    std::string running;
    for (const auto& [task, run] : runs_)
        running += (running.empty() ? "[" : ",[") + quote(task) + "," + std::to_string(run.number) + ",\"\",100,0]";
    std::string ended;
    std::size_t listed = 0;
    for (const auto& end : ends_) {
        if (listed++ == maxEndsListed)
            break;
        ended += (ended.empty() ? "[" : ",[") + std::to_string(end.sequence) + "," + quote(end.task) + ","
            + std::to_string(end.run) + "," + quote(end.how) + ",\"\"]";
    }
    return "{\"clock_ms\":" + std::to_string(nowMs()) + ",\"born\":" + std::to_string(bornUnixMs_) + ",\"running\":["
        + running + "],\"ended\":[" + ended + "]}";
}

bool Worker::acceptFence(std::uint64_t token)
{
    if (token < fence_)
        return false;
    fence_ = token;
    return true;
}

void Worker::extend(std::int64_t deadline)
{
    leaseUntil_ = std::max(leaseUntil_, std::min(deadline, nowMs() + maxHoldMs));
}

Response Worker::start(const std::string& body)
{
    rapidjson::Document json;
    json.Parse(body.data(), body.size());
    if (!acceptFence(json["fencing_token"].GetUint64()))
        return { .status = 409, .body = answer("fence") };
    const std::string task = json["task"].GetString();
    const auto number = json["run"].GetUint64();
    const auto deadline = json["deadline_ms"].GetInt64();
    tickLocked();
    if (const auto found = runs_.find(task); found != runs_.end() && found->second.number == number)
        return { .status = 200, .body = answer({}) };
    if (deadline < nowMs())
        return { .status = 409, .body = answer("late") };
    extend(deadline);
    if (const auto highest = highestRun_.find(task); highest != highestRun_.end() && number <= highest->second)
        return { .status = 409, .body = answer("old") };
    highestRun_[task] = number;
    // Tasks of a step take between 0.6 and 1.4 of the stated time.
    const auto spread = static_cast<std::int64_t>(std::hash<std::string> {}(task) % 81);
    const auto runMs = std::atoll(json["task_spec"].GetString()) * (60 + spread) / 100;
    runs_[task] = { .number = number, .endAt = nowMs() + runMs, .entry = ledger_.begin(task, number, options_.id) };
    record_.line("start " + task + " run " + std::to_string(number) + " on " + options_.id);
    return { .status = 200, .body = answer({}) };
}

Response Worker::stop(const std::string& body)
{
    rapidjson::Document json;
    json.Parse(body.data(), body.size());
    if (!acceptFence(json["fencing_token"].GetUint64()))
        return { .status = 409, .body = answer("fence") };
    const std::string task = json["task"].GetString();
    const auto number = json["run"].GetUint64();
    highestRun_[task] = std::max(highestRun_[task], number);
    if (const auto found = runs_.find(task); found != runs_.end() && found->second.number <= number) {
        found->second.stopAt = nowMs() + stopMs;
        record_.line("stop " + task + " run " + std::to_string(number) + " on " + options_.id);
    }
    return { .status = 200, .body = answer({}) };
}

std::optional<Response> Worker::handle(const Request& request)
{
    if (!alive_)
        return std::nullopt;
    const auto expected = request.fields.find("x-balsammill-expected-instance");
    if (expected != request.fields.end() && expected->second != options_.id)
        return Response { .status = 421, .body = {} };
    std::unique_lock lock(mutex_);
    if (request.target == "/balsammill/run-start")
        return start(request.body);
    if (request.target == "/balsammill/run-stop")
        return stop(request.body);
    if (request.target != "/balsammill/hold")
        return Response { .status = 404, .body = {} };
    rapidjson::Document json;
    json.Parse(request.body.data(), request.body.size());
    if (!acceptFence(json["fencing_token"].GetUint64()))
        return Response { .status = 409, .body = answer("fence") };
    tickLocked();
    if (json.HasMember("deadline_ms"))
        extend(json["deadline_ms"].GetInt64());
    const auto lastSeen = json["last_seen"].GetUint64();
    while (!ends_.empty() && ends_.front().sequence <= lastSeen) {
        ledger_.note(ends_.front().entry, ends_.front().lapsed);
        ends_.pop_front();
    }
    const auto until = nowMs() + (json.HasMember("wait_ms") ? json["wait_ms"].GetInt64() : 0);
    while (alive_ && ends_.empty() && nowMs() < until)
        ended_.wait_for(lock, std::chrono::milliseconds(10));
    if (!alive_)
        return std::nullopt;
    return Response { .status = 200, .body = report() };
}

Deployment::Deployment(Record& to, const Options& options)
    : record(to)
    , options_(options)
{
    folder_ = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
    if (::mkdtemp(folder_.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    for (const auto& zone : options.zones) {
        int number = 0;
        for (const auto& labels : options.workersPerZone) {
            workers.push_back(std::make_unique<Worker>(ledger, record,
                Worker::Options { .id = "w-" + zone + "-" + std::to_string(number++),
                    .zone = zone,
                    .labels = labels,
                    .milliCores = options.milliCores }));
        }
    }
    store.put("op", "config",
        "{\"version\":3,\"routes\":[{\"name\":\"q1\",\"host\":\"" + std::string(host) + "\",\"path_prefix\":\""
            + prefix + "\",\"service\":\"tanim\",\"timeout_ms\":60000," + options.routeFields
            + "}],\"services\":[{\"name\":\"tanim\",\"rejects_overload\":false}],\"limits\":{}}");
    beat();
    ticker_ = std::thread([this] {
        while (!closing_) {
            for (const auto& worker : workers)
                worker->tick();
            beat();
            sleepMs(2);
        }
    });
}

void Deployment::beat()
{
    const auto now = nowMs();
    for (const auto& worker : workers) {
        if (worker->alive()) {
            if ((worker->lastBeatAt == 0 || now - worker->lastBeatAt >= heartbeatMs)
                && store.put("servers", worker->options().id, worker->registration()))
                worker->lastBeatAt = std::max<std::int64_t>(now, 1);
        } else if (worker->lastBeatAt != 0 && now - worker->lastBeatAt >= 3 * heartbeatMs
            && store.remove("servers", worker->options().id)) {
            worker->lastBeatAt = 0;
            record.line("registration of " + worker->options().id + " is removed");
        }
    }
}

Deployment::~Deployment()
{
    for (auto& entry : entries_) {
        if (entry.pid > 0 && !ended(entry)) {
            ::kill(entry.pid, SIGKILL);
            ::waitpid(entry.pid, nullptr, 0);
        }
    }
    closing_ = true;
    if (ticker_.joinable())
        ticker_.join();
    if (const char* keep = std::getenv("KEEP_LOGS"); keep != nullptr)
        std::fprintf(stderr, "logs in %s\n", folder_.c_str());
    else
        std::filesystem::remove_all(folder_);
}

void Deployment::launch(Entry& entry)
{
    const auto pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(entry.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("BALSAMMILL_SETTINGS", entry.settings.c_str(), 1);
        if (::chdir(std::getenv("REVIEW_ROOT")) != 0)
            ::_exit(127);
        // The words of `run` in the deploy file.
        ::execl("target/apps/balsammill/balsammill", "target/apps/balsammill/balsammill", "node", nullptr);
        ::_exit(127);
    }
    entry.pid = pid;
    record.line("entry " + entry.name + " is started");
}

bool Deployment::start()
{
    for (const auto& zone : options_.zones) {
        for (int i = 0; i < options_.entriesPerZone; ++i) {
            Entry entry { .name = "front-" + zone + "-" + std::to_string(i + 1),
                .zone = zone,
                .clientPort = freePort(),
                .readyPort = freePort(),
                .controlPort = freePort(),
                .peerPort = freePort() };
            freePort(); // the second one of the entry's internal ports
            entry.settings = folder_ + "/" + entry.name + ".toml";
            entry.log = folder_ + "/" + entry.name + ".log";
            entries_.push_back(entry);
        }
    }
    std::string zones;
    for (const auto& zone : options_.zones)
        zones += zone + " = \"mindanao-north\"\n";
    for (const auto& entry : entries_) {
        std::ofstream(entry.settings)
            << "node_name = \"" << entry.name << "\"\nrole = \"entry\"\nmachine_class = \"front\"\n"
            << "serves = [\"front\"]\nip = \"127.0.0.1\"\nzone = \"" << entry.zone
            << "\"\nregion = \"mindanao-north\"\ninternal_port_range = [" << entry.peerPort << ", "
            << entry.peerPort + 1 << "]\nseeds = []\nbootstrap = true\nin_tolerance = false\n"
            << "discovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1500\norders = \"call\"\n[zones]\n"
            << zones << "[listen]\nfront = \"127.0.0.1:" << entry.clientPort << "\"\nready = \"127.0.0.1:"
            << entry.readyPort << "\"\ncontrol = \"127.0.0.1:" << entry.controlPort
            << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n"
            << "link_mbps = 1000.0\ndisk_mb = 0\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            << "[bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\n"
            << "catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n"
            << "rollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 1000\n"
            << "stop_grace_ms = 50\ngang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
            << "finish_s = 14\nstatus_s = 120\nremote_penalty = 2\ncheckpoint_s = 0.5\nrestore_ms = 100\n"
            << "notice_ms = 4500\nmove_s = 1.5\nmaintenance_s = 2\nfencing_required = true\nlease_ms = 3000\n"
            << "thaw_slack_ms = 300\npace_ms = 100\nharm_ms = 4000\nresend_ms = 1300\n[platform]\naddress = \"127.0.0.1:"
            << store.port() << "\"\nform = \"table\"\nwrites_per_s = 800\nreads_per_s = 2000\ntx_ms = 6.0\n"
            << "partition_writes_s = 200\nrow_bytes = 65536\nacross = false\nhistory_s = 20\n";
    }
    for (auto& entry : entries_)
        launch(entry);
    // Traffic starts 10 s after the machines do.
    const auto until = nowMs() + 20'000;
    std::int64_t readySince = -1;
    while (nowMs() < until) {
        const bool all = std::all_of(entries_.begin(), entries_.end(),
            [](const Entry& entry) { return call(entry.readyPort, "GET", "/balsammill/readiness", "x", {}, 500).status == 200; });
        if (!all)
            readySince = -1;
        else if (readySince < 0)
            readySince = nowMs();
        if (readySince >= 0 && nowMs() - readySince >= 3000 && nowMs() >= 8000) {
            record.line("all entries are ready");
            return true;
        }
        sleepMs(100);
    }
    record.line("the entries did not become ready");
    return false;
}

bool Deployment::restart(Entry& entry)
{
    if (entry.pid > 0)
        return false;
    launch(entry);
    const auto until = nowMs() + 8000;
    while (nowMs() < until) {
        if (call(entry.readyPort, "GET", "/balsammill/readiness", "x", {}, 500).status == 200)
            return true;
        sleepMs(50);
    }
    return false;
}

void Deployment::signal(Entry& entry, int number)
{
    record.line("signal " + std::to_string(number) + " to " + entry.name);
    ::kill(entry.pid, number);
}

bool Deployment::ended(Entry& entry)
{
    if (entry.pid <= 0)
        return true;
    if (::waitpid(entry.pid, nullptr, WNOHANG) != entry.pid)
        return false;
    record.line("entry " + entry.name + " has ended");
    entry.pid = -1;
    return true;
}

Reply Deployment::request(
    std::size_t entry, const std::string& method, const std::string& id, const std::string& body, std::int64_t timeoutMs)
{
    const auto what = method + " " + id + " at " + entries_[entry].name;
    record.line("send " + what);
    const auto reply = call(entries_[entry].clientPort, method, prefix + id, host, body, timeoutMs);
    record.line("answer to " + what + ": " + std::to_string(reply.status) + " " + reply.body);
    return reply;
}

} // namespace Review
