#pragma once

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

/// A JSON value, as far as the stand-ins need it.
struct json {
    enum class kind { null, boolean, number, text, list, object } type = kind::null;
    bool truth = false;
    double number = 0;
    std::string text;
    std::vector<json> items;
    std::map<std::string, json> fields;

    const json& operator[](const std::string& name) const {
        static const json none;
        const auto found = fields.find(name);
        return found == fields.end() ? none : found->second;
    }
    std::uint64_t whole() const { return static_cast<std::uint64_t>(number); }

    static json parse(const std::string& text) {
        std::size_t at = 0;
        return parse(text, at);
    }

private:
    static void skip(const std::string& text, std::size_t& at) {
        while (at < text.size() && (text[at] == ' ' || text[at] == '\n' || text[at] == '\r' || text[at] == '\t' ||
                                    text[at] == ',' || text[at] == ':')) {
            ++at;
        }
    }

    static std::string parse_text(const std::string& text, std::size_t& at) {
        std::string value;
        for (++at; at < text.size() && text[at] != '"'; ++at) {
            if (text[at] == '\\' && at + 1 < text.size()) {
                ++at;
                if (text[at] == 'u') {
                    value.push_back(static_cast<char>(std::strtol(text.substr(at + 1, 4).c_str(), nullptr, 16)));
                    at += 4;
                    continue;
                }
                value.push_back(text[at] == 'n' ? '\n' : text[at]);
                continue;
            }
            value.push_back(text[at]);
        }
        ++at;
        return value;
    }

    static json parse(const std::string& text, std::size_t& at) {
        json value;
        skip(text, at);
        if (at >= text.size()) {
            return value;
        }
        if (text[at] == '{') {
            value.type = kind::object;
            for (++at, skip(text, at); at < text.size() && text[at] != '}'; skip(text, at)) {
                const auto name = parse_text(text, at);
                value.fields[name] = parse(text, at);
            }
            ++at;
        } else if (text[at] == '[') {
            value.type = kind::list;
            for (++at, skip(text, at); at < text.size() && text[at] != ']'; skip(text, at)) {
                value.items.push_back(parse(text, at));
            }
            ++at;
        } else if (text[at] == '"') {
            value.type = kind::text;
            value.text = parse_text(text, at);
        } else if (text.compare(at, 4, "true") == 0 || text.compare(at, 5, "false") == 0) {
            value.type = kind::boolean;
            value.truth = text[at] == 't';
            at += value.truth ? 4 : 5;
        } else if (text.compare(at, 4, "null") == 0) {
            at += 4;
        } else {
            char* end = nullptr;
            value.type = kind::number;
            value.number = std::strtod(text.c_str() + at, &end);
            const auto next = static_cast<std::size_t>(end - text.c_str());
            at = next > at ? next : at + 1;
        }
        return value;
    }
};
