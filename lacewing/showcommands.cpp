// The commands that show things. Answers of VMs are JSON; what is missing in them shows as an empty cell.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <ostream>
#include <thread>

#include <nlohmann/json.hpp>

#include "commandcontext.h"
#include "commandline.h"
#include "hostport.h"
#include "texttable.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;

/// Text of a value for a cell.
std::string cellOf(const Json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_null() ? "" : value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string cellOf(const Json &object, const char *name)
{
    const auto field = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && field != object.end() ? cellOf(*field) : "";
}

/// Elements of a list in an object; none if it is not there.
Json listIn(const Json &object, const char *name)
{
    const auto field = object.is_object() ? object.find(name) : object.end();
    const bool found = object.is_object() && field != object.end() && field->is_array();
    return found ? *field : Json::array();
}

void sortByName(Json &list)
{
    std::sort(list.begin(), list.end(),
              [](const Json &left, const Json &right) { return cellOf(left, "name") < cellOf(right, "name"); });
}

/// Shows a list as JSON or as a table of the named fields.
void showList(const CommandContext &context, const Json &list, const std::vector<const char *> &fields)
{
    if (context.line.json) {
        context.out << list.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
        return;
    }
    TextTable table;
    table.header.assign(fields.begin(), fields.end());
    for (const Json &entry : list) {
        std::vector<std::string> row;
        row.reserve(fields.size());
        for (const char *field : fields) {
            row.push_back(cellOf(entry, field));
        }
        table.rows.push_back(std::move(row));
    }
    context.out << toString(table);
}

/// Reads all pages of adapters; starts again when the table was rebuilt in between.
CommandExit readAdapters(CommandContext &context, Json &adapters)
{
    std::string position;
    adapters = Json::array();
    while (true) {
        Json page;
        const CommandExit code = askFor(context, "/v1/config/adapters" + position, page);
        if (code != CommandExit::Done) {
            return code;
        }
        if (page.contains("restart")) {
            adapters = Json::array();
            position.clear();
            continue;
        }
        const Json found = listIn(page, "adapters");
        adapters.insert(adapters.end(), found.begin(), found.end());
        const std::string next = cellOf(page, "next_bucket");
        if (next.empty()) {
            return CommandExit::Done;
        }
        position = "?bucket=" + next + "&buckets=" + cellOf(page, "buckets");
    }
}

CommandExit listAdapters(CommandContext &context)
{
    Json adapters;
    const CommandExit code = readAdapters(context, adapters);
    if (code != CommandExit::Done) {
        return code;
    }
    const auto member = context.line.options.find("member");
    Json wanted = Json::array();
    for (Json &adapter : adapters) {
        if (member == context.line.options.end() || cellOf(adapter, "member") == member->second) {
            adapter["version_count"] = listIn(adapter, "versions").size();
            wanted.push_back(std::move(adapter));
        }
    }
    sortByName(wanted);
    showList(context, wanted, {"name", "member", "base_model", "assigned", "version_count"});
    return CommandExit::Done;
}

CommandExit showAdapter(CommandContext &context)
{
    Json page;
    const CommandExit code = askFor(context, "/v1/config/adapters?name=" + context.line.names[0], page);
    if (code != CommandExit::Done) {
        return code;
    }
    const Json adapters = listIn(page, "adapters");
    if (adapters.empty()) {
        context.errors << "no such adapter\n";
        return CommandExit::NotFound;
    }
    if (context.line.json) {
        context.out << adapters[0].dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
        return CommandExit::Done;
    }
    showList(context, adapters, {"name", "member", "base_model", "assigned"});
    context.out << "\n";
    showList(context, listIn(adapters[0], "versions"), {"version", "source", "retired"});
    return CommandExit::Done;
}

/// Shows one list of the configuration.
CommandExit listPart(CommandContext &context, const std::string &part, const std::vector<const char *> &fields)
{
    Json body;
    const CommandExit code = askFor(context, "/v1/config/" + part, body);
    if (code == CommandExit::Done) {
        showList(context, listIn(body, part.c_str()), fields);
    }
    return code;
}

CommandExit listEndpoints(CommandContext &context)
{
    return listPart(context, "endpoints",
                    {"name", "zone", "address", "base_model", "service", "member", "checks_fencing", "adapter_slots",
                     "max_running", "draining"});
}

CommandExit listServices(CommandContext &context)
{
    Json body;
    const CommandExit code = askFor(context, "/v1/config/endpoints", body);
    Json services = Json::array();
    for (const Json &endpoint : listIn(body, "endpoints")) {
        if (!cellOf(endpoint, "service").empty()) {
            services.push_back(endpoint);
        }
    }
    if (code == CommandExit::Done) {
        showList(context, services, {"service", "name", "zone", "address", "member", "draining"});
    }
    return code;
}

CommandExit listMembers(CommandContext &context)
{
    return listPart(context, "members", {"name", "max_in_flight"});
}

CommandExit showPresets(CommandContext &context)
{
    Json body;
    const CommandExit code = askFor(context, "/v1/config/presets", body);
    if (code != CommandExit::Done) {
        return code;
    }
    Json wanted = Json::array();
    for (Json preset : listIn(body, "presets")) {
        preset["in_force"] = cellOf(preset, "name") == cellOf(body, "in_force");
        if (context.line.names.empty() || cellOf(preset, "name") == context.line.names[0]) {
            wanted.push_back(std::move(preset));
        }
    }
    if (wanted.empty()) {
        context.errors << "no such preset\n";
        return CommandExit::NotFound;
    }
    showList(context, wanted,
             {"name", "in_force", "urgent_reserve", "gather_ms", "loads_per_second", "stall_weight", "batch_weight",
              "accept_patient"});
    return CommandExit::Done;
}

Json describeVm(const OperatorView &view)
{
    Json vm = view.status == statusOk && view.body.is_object() ? view.body : Json::object();
    vm["operator"] = toString(view.address);
    vm["reached"] = view.status == statusOk;
    return vm;
}

/// One row per endpoint; its owner's own view of it goes before what others say.
Json collectEndpoints(const std::vector<OperatorView> &views)
{
    Json endpoints = Json::object();
    for (const OperatorView &view : views) {
        const auto listed = view.body.is_object() ? view.body.find("endpoints") : view.body.end();
        if (!view.body.is_object() || listed == view.body.end() || !listed->is_object()) {
            continue;
        }
        for (const auto &[name, endpoint] : listed->items()) {
            const bool ownView = endpoint.is_object() && endpoint.contains("owned_here");
            if (!endpoints.contains(name) || ownView) {
                endpoints[name] = endpoint;
                endpoints[name]["name"] = name;
            }
        }
    }
    Json list = Json::array();
    for (Json &endpoint : endpoints) {
        const Json owned = endpoint.value("owned_here", Json::object());
        for (const char *field : {"queued", "running", "healthy"}) {
            endpoint[field] = owned.is_object() ? owned.value(field, Json()) : Json();
        }
        endpoint["resident"] = listIn(owned, "adapters").size();
        list.push_back(std::move(endpoint));
    }
    return list;
}

CommandExit showStatus(CommandContext &context)
{
    const std::vector<OperatorView> views = context.client.askAll("/v1/status");
    Json vms = Json::array();
    bool anyReached = false;
    for (const OperatorView &view : views) {
        vms.push_back(describeVm(view));
        anyReached = anyReached || view.status == statusOk;
    }
    const Json endpoints = collectEndpoints(views);
    if (context.line.json) {
        const Json all {{"vms", vms}, {"endpoints", endpoints}};
        context.out << all.dump(-1, ' ', false, Json::error_handler_t::replace) << std::endl;
    } else {
        showList(context, vms,
                 {"operator", "reached", "vm", "zone", "revision", "preset", "open_requests", "stopping"});
        context.out << "\n";
        showList(context, endpoints, {"name", "zone", "owner", "healthy", "queued", "running", "resident", "draining"});
        context.out << std::flush;
    }
    constexpr int statusUnauthorized = 401;
    const bool refused = std::any_of(views.begin(), views.end(),
                                     [](const OperatorView &view) { return view.status == statusUnauthorized; });
    if (refused) {
        return CommandExit::Unauthorized;
    }
    return anyReached ? CommandExit::Done : CommandExit::Unreachable;
}

CommandExit watchStatus(CommandContext &context)
{
    const auto count = context.line.options.find("count");
    std::int64_t left = count != context.line.options.end() ? std::atoll(count->second.c_str()) : INT64_MAX;
    CommandExit code = CommandExit::Done;
    while (left > 0) {
        code = showStatus(context);
        --left;
        if (left > 0) {
            std::this_thread::sleep_for(context.line.interval);
        }
    }
    return code;
}

CommandExit showHistory(CommandContext &context)
{
    Json body;
    const CommandExit code = askFor(context, "/v1/history", body);
    if (code == CommandExit::Done) {
        showList(context, listIn(body, "history"), {"revision", "offset", "author", "changes", "note"});
    }
    return code;
}

CommandExit showDiff(CommandContext &context)
{
    const std::string through = context.line.names.size() > 1 ? "&through=" + context.line.names[1] : "";
    Json body;
    const CommandExit code = askFor(context, "/v1/changes?after=" + context.line.names[0] + through, body);
    if (code != CommandExit::Done) {
        return code;
    }
    if (context.line.json) {
        context.out << body.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
        return code;
    }
    for (const Json &entry : listIn(body, "revisions")) {
        context.out << "revision " << cellOf(entry, "revision") << " by " << cellOf(entry, "author") << "\n";
        for (const Json &change : listIn(entry, "changes")) {
            context.out << "  " << cellOf(change) << "\n";
        }
        if (cellOf(entry, "kept") == "false") {
            context.out << "  (too large: its changes are not kept)\n";
        }
    }
    return code;
}

struct ShowCommand {
    std::string_view command;
    CommandFunction run;
};

constexpr std::array showCommands {
    ShowCommand {"adapter list", listAdapters},   ShowCommand {"adapter show", showAdapter},
    ShowCommand {"endpoint list", listEndpoints}, ShowCommand {"service list", listServices},
    ShowCommand {"member list", listMembers},     ShowCommand {"preset show", showPresets},
    ShowCommand {"status", showStatus},           ShowCommand {"watch", watchStatus},
    ShowCommand {"config history", showHistory},  ShowCommand {"config diff", showDiff},
};

} // namespace

CommandFunction findShowCommand(std::string_view command)
{
    for (const ShowCommand &show : showCommands) {
        if (show.command == command) {
            return show.run;
        }
    }
    return nullptr;
}

} // namespace lacewing
