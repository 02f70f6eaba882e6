// A line-oriented reader: engines send one JSON document on each "data:" line. Whole lines are read in
// place; only a line cut by the end of a read is copied.

#include "engineevents.h"

#include <nlohmann/json.hpp>

#include "boundedjson.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr std::string_view dataField = "data:";
constexpr std::string_view endMark = "[DONE]";

bool takeText(const Json &value, EngineEvent &event)
{
    if (!value.is_string() || value.get_ref<const std::string &>().empty()) {
        return false;
    }
    event.kind = EngineEventKind::Token;
    event.text = value.get_ref<const std::string &>();
    return true;
}

bool takeChoice(const Json &choice, EngineEvent &event)
{
    if (!choice.is_object()) {
        return true;
    }
    if (const auto text = choice.find("text"); text != choice.end()) {
        return takeText(*text, event);
    }
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object()) {
        return false;
    }
    const auto content = delta->find("content");
    return content != delta->end() && takeText(*content, event);
}

bool takeError(const Json &error, EngineEvent &event)
{
    event.kind = EngineEventKind::Error;
    if (error.is_object() && error.contains("message") && error["message"].is_string()) {
        event.text = error["message"].get_ref<const std::string &>();
    }
    return true;
}

} // namespace

bool readEngineEvent(std::string_view data, EngineEvent &event)
{
    event = {};
    if (data == endMark) {
        event.kind = EngineEventKind::Done;
        return true;
    }
    const Json json = parseBoundedJson(data);
    if (!json.is_object()) {
        return true;
    }
    if (const auto error = json.find("error"); error != json.end()) {
        return takeError(*error, event);
    }
    const auto choices = json.find("choices");
    if (choices == json.end() || !choices->is_array()) {
        return true;
    }
    // An event with no choice carries usage figures.
    return !choices->empty() && takeChoice(choices->front(), event);
}

void EngineEventReader::push(std::string_view bytes, const std::function<void(const EngineEvent &)> &take)
{
    while (!bytes.empty() && !this->failed) {
        const std::size_t end = bytes.find('\n');
        const std::string_view piece = bytes.substr(0, end);
        if (this->partial.size() + piece.size() > longestLine) {
            this->failed = true;
            take(EngineEvent {});
            return;
        }
        if (end == std::string_view::npos) {
            this->partial += piece;
            return;
        }
        bytes.remove_prefix(end + 1);
        if (this->partial.empty()) {
            this->takeLine(piece, take);
            continue;
        }
        this->partial += piece;
        this->takeLine(this->partial, take);
        this->partial.clear();
    }
}

void EngineEventReader::takeLine(std::string_view line, const std::function<void(const EngineEvent &)> &take)
{
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    // Blank lines, comments and other fields mean nothing here.
    if (!line.starts_with(dataField)) {
        return;
    }
    line.remove_prefix(dataField.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    EngineEvent event;
    if (!readEngineEvent(line, event)) {
        return;
    }
    this->failed = event.kind == EngineEventKind::Malformed;
    take(event);
}

} // namespace lacewing
