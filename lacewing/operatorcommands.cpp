// Finds the command's function and gives it the connection to the VMs.

#include "operatorcommands.h"

#include <array>
#include <ostream>

#include <nlohmann/json.hpp>

#include "commandcontext.h"
#include "commandline.h"
#include "resultcode.h"

namespace lacewing {

namespace {

constexpr int statusOk = 200;
constexpr int statusUnauthorized = 401;
constexpr int statusUnprocessable = 422;

constexpr std::array exits {
    CommandExitInfo {CommandExit::Done, "done"},
    CommandExitInfo {CommandExit::Failed, "a VM answered with an error that has no code of its own"},
    CommandExitInfo {CommandExit::Usage, "the command line or the file is wrong; nothing was sent"},
    CommandExitInfo {CommandExit::Stale, "refused: another change came first"},
    CommandExitInfo {CommandExit::Invalid, "refused: the change is not valid"},
    CommandExitInfo {CommandExit::Unknown, "unknown: the change may still come into force"},
    CommandExitInfo {CommandExit::Unreachable, "no VM took the change or answered; nothing was changed"},
    CommandExitInfo {CommandExit::Unauthorized, "the operators' token is wrong"},
    CommandExitInfo {CommandExit::NotInForce, "accepted, but not yet in force on the VMs named"},
    CommandExitInfo {CommandExit::NotFound, "what was to be shown does not exist"},
};

} // namespace

std::span<const CommandExitInfo> commandExits()
{
    return exits;
}

CommandExit askFor(CommandContext &context, const std::string &target, nlohmann::json &body)
{
    OperatorCallResult result = context.client.ask(target);
    if (result.status == statusOk && result.body.is_object()) {
        body = std::move(result.body);
        return CommandExit::Done;
    }
    context.errors << describeFailure(result) << "\n";
    switch (result.status) {
    case 0:
        return CommandExit::Unreachable;
    case statusUnauthorized:
        return CommandExit::Unauthorized;
    case statusUnprocessable:
        return CommandExit::Invalid;
    default:
        return CommandExit::Failed;
    }
}

CommandExit runOperatorCommand(const CommandLine &line, std::ostream &out, std::ostream &errors)
{
    OperatorClient client(line.operators, line.token, line.timeout);
    CommandContext context {line, client, out, errors};
    const CommandFunction show = findShowCommand(line.command);
    return show != nullptr ? show(context) : runChangeCommand(context);
}

} // namespace lacewing
