/** @file `tiller` and `tillerd`, run as programs. */
#include "system.hpp"

#include "tillerhall/table/csv.hpp"

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

/** A small cluster, and `tiller` run against it. */
class tiller_session
{
public:
    explicit tiller_session(worker& on)
        : system(on, options())
    {
    }

    run_output tiller(const std::vector<std::string>& arguments,
                      bool with_token = true)
    {
        std::vector<std::string> argv{program_folder() + "/tiller"};
        argv.insert(argv.end(), arguments.begin(), arguments.end());
        // Nothing listens at the first address, so `tiller` must fail over.
        const auto nodes = "127.0.0.1:1," + system.nodes()[0].operators.text() +
                           "," + system.nodes()[1].operators.text();
        return run(argv, {{"TILLER_NODES", nodes},
                          {"TILLER_TOKEN", with_token ? system.token() : ""}});
    }

    std::string write(const std::string& name, const std::string& text)
    {
        const auto path = system.folder() + "/" + name;
        std::ofstream(path) << text;
        return path;
    }

    static cluster_options options()
    {
        auto cluster_config = akkerbond(3);
        cluster_config.share_targets = true;
        return cluster_config;
    }

    started_cluster system;
};

} // namespace

TEST_CASE("show, edit, check, diff, accept, watch, history and restore")
{
    on_worker(
        [](worker& on)
        {
            tiller_session session(on);
            const auto shown = session.tiller({"show"});
            REQUIRE(shown.code == 0);
            CHECK_THAT(shown.out, Catch::StartsWith("#tillerhall base=1\n"));
            const auto draft = session.write("draft.csv", shown.out);
            const auto edited = session.tiller(
                {"edit", draft, "perceel", "polder-a", "weight=7", "queue=3"});
            CHECK(edited.code == 0);
            CHECK_THAT(edited.out,
                       Catch::Contains("perceel polder-a weight: 100 -> 7"));
            CHECK(session.tiller({"check", draft}).code == 0);
            const auto diffed = session.tiller({"diff", "1", draft});
            CHECK_THAT(diffed.out, Catch::Contains("queue: 64 -> 3"));
            const auto accepted = session.tiller({"accept", draft, "--watch"});
            CHECK(accepted.code == 0);
            CHECK_THAT(accepted.out,
                       Catch::Contains("accepted as version 2") &&
                           Catch::Contains("in force everywhere"));
            CHECK(session.tiller({"watch", "2", "--json"}).code == 0);
            const auto history = session.tiller({"history"});
            CHECK_THAT(history.out, Catch::Contains("version 2 by") &&
                                        Catch::Contains("weight: 100 -> 7"));
            const auto restored = session.tiller({"restore", "1", "--watch"});
            CHECK(restored.code == 0);
            CHECK_THAT(restored.out, Catch::Contains("accepted as version 3"));
            CHECK(session.tiller({"diff", "1", "3"}).out.empty());
            CHECK_THAT(session.tiller({"nodes"}).out, Catch::Contains("ready"));
            CHECK_THAT(session.tiller({"targets"}).out,
                       Catch::Contains("perceel polder-a"));
            CHECK_THAT(session.tiller({"why"}).out, Catch::Contains("applied"));
            CHECK(session.tiller({"nodes", "--json"}).code == 0);
        });
}

TEST_CASE("accepts with the same accept id create one version")
{
    on_worker(
        [](worker& on)
        {
            tiller_session session(on);
            const auto draft = session.write(
                "d.csv",
                write_draft(
                    read_csv(with_weight(session.system.csv(), 3)).parsed.table,
                    1));
            const auto first =
                session.tiller({"accept", draft, "--accept-id", "mine"});
            CHECK_THAT(first.out, Catch::Contains("accepted as version 2"));
            const auto second =
                session.tiller({"accept", draft, "--accept-id", "mine"});
            CHECK(second.code == 0);
            CHECK_THAT(second.out,
                       Catch::Contains("already accepted as version 2"));
        });
}

TEST_CASE("a concurrent edit is refused as a conflict, and --rebase merges it")
{
    on_worker(
        [](worker& on)
        {
            tiller_session session(on);
            const auto shown = session.tiller({"show"}).out;
            const auto mine = session.write("mine.csv", shown);
            const auto theirs = session.write("theirs.csv", shown);
            session.tiller({"edit", mine, "perceel", "polder-a", "weight=1"});
            session.tiller(
                {"edit", theirs, "oogstbeurs", "polder-a", "weight=2"});
            CHECK(session.tiller({"accept", theirs}).code == 0);
            const auto refused = session.tiller({"accept", mine});
            CHECK(refused.code == 1);
            CHECK_THAT(refused.err, Catch::Contains("conflict") &&
                                        Catch::Contains("--rebase"));
            CHECK(session.tiller({"accept", mine, "--rebase"}).code == 0);
            CHECK(session.tiller({"diff", "1", "3"}).out ==
                  "oogstbeurs polder-a weight: 100 -> 2\n"
                  "perceel polder-a weight: 100 -> 1\n");
            const auto same = session.write("same.csv", shown);
            session.tiller({"edit", same, "perceel", "polder-a", "weight=9"});
            const auto clash = session.tiller({"accept", same, "--rebase"});
            CHECK(clash.code == 1);
            CHECK_THAT(clash.err,
                       Catch::Contains("base 100 | mine 9 | theirs 1"));
        });
}

TEST_CASE("invalid input is reported with a remedy and an exit code")
{
    on_worker(
        [](worker& on)
        {
            tiller_session session(on);
            const auto draft =
                session.write("d.csv", session.tiller({"show"}).out);
            struct bad_case
            {
                std::vector<std::string> arguments;
                int code;
                std::string message;
            };
            const std::vector<bad_case> cases{
                {{"frobnicate"}, 2, "`tiller --help` lists them"},
                {{"show", "--colour"}, 2, "--help` lists the options"},
                {{"show", "x"}, 2, "\"x\" is not a version"},
                {{"show", "99"}, 2, "99"},
                {{"edit", draft}, 2, "usage: tiller edit"},
                {{"edit", "/nowhere.csv", "a", "b", "weight=1"},
                 2,
                 "cannot read /nowhere.csv"},
                {{"edit", draft, "perceel", "polder-z", "weight=1"},
                 2,
                 "give --add to make the row"},
                {{"edit", draft, "perceel", "polder-a", "weight=-1"},
                 2,
                 "whole number from 0 to 10000"},
                {{"edit", draft, "perceel", "polder-a", "colour=1"},
                 2,
                 "unknown column \"colour\""},
                {{"edit", draft, "perceel", "polder-a", "weight"},
                 2,
                 "is not COLUMN=VALUE"},
                {{"accept", session.write("n.csv", session.system.csv())},
                 2,
                 "names no base version"},
                {{"restore", "x"}, 2, "is not a version"},
                {{"accept", session.write("u.csv", "#tillerhall base=1\n"
                                                   "service,place\nx,y\n")},
                 1,
                 "service \"x\" is not known to the mesh"},
                {{"watch", "99", "--timeout", "0.3"}, 5, "is not in force"},
            };
            const auto before = session.tiller({"show"}).out;
            for (const auto& each : cases)
            {
                const auto output = session.tiller(each.arguments);
                INFO(each.arguments[0] << ": " << output.err);
                CHECK(output.code == each.code);
                CHECK_THAT(output.err, Catch::Contains(each.message));
            }
            CHECK(session.tiller({"show"}).out == before);
            CHECK(session.tiller({"show", "--node", "127.0.0.1:1"}).code == 3);
            const auto denied = session.tiller({"restore", "1"}, false);
            CHECK(denied.code == 1);
            CHECK_THAT(denied.err, Catch::Contains("TILLER_TOKEN"));
        });
}

TEST_CASE("a version number that is out of range is refused")
{
    // Guards against commands that abort by an uncaught exception.
    on_worker(
        [](worker& on)
        {
            constexpr const char* too_large = "999999999999999999999";
            constexpr int usage = 2;
            tiller_session session(on);
            const auto draft = session.write("draft.csv", session.system.csv());
            const std::vector<std::vector<std::string>> commands{
                {"show", too_large},
                {"restore", too_large},
                {"watch", too_large},
                {"diff", too_large, draft}};
            for (const auto& each : commands)
            {
                const auto answer = session.tiller(each);
                INFO(each.front() << ": " << answer.err);
                CHECK(answer.code == usage);
                CHECK(answer.err.find("is not a version") != std::string::npos);
            }
        });
}

TEST_CASE("every command has help with an example and is in the completion")
{
    const auto program = program_folder() + "/tiller";
    const auto overview = run({program, "--help"});
    CHECK(overview.code == 0);
    const auto completion = run({program, "completion"}).out;
    for (const auto* name : {"show", "edit", "check", "diff", "accept", "watch",
                             "history", "restore", "nodes", "targets", "why"})
    {
        CHECK_THAT(overview.out,
                   Catch::Contains(std::string("tiller ") + name));
        CHECK_THAT(completion, Catch::Contains(name));
        const auto help = run({program, name, "--help"});
        CHECK(help.code == 0);
        CHECK_THAT(help.out, Catch::Contains("Example: tiller"));
    }
}

TEST_CASE("docs/SETTINGS.md contains the output of --list-settings")
{
    const std::filesystem::path root =
        std::filesystem::path(program_folder()).parent_path();
    std::ifstream file(root / "docs" / "SETTINGS.md");
    const std::string page((std::istreambuf_iterator<char>(file)), {});
    const auto listed = run({program_folder() + "/tillerd", "--list-settings"});
    CHECK(listed.out.size() > 1000);
    CHECK_THAT(page, Catch::Contains(listed.out));
}

TEST_CASE("report burn and explain show failed calls")
{
    on_worker(
        [](worker& on)
        {
            tiller_session session(on);
            caller from(on.io(), session.system.nodes()[0].caller);
            for (int i = 0; i < 20; ++i)
                CHECK(from.call({"perceel", "well-" + std::to_string(i)})
                          .is_good());
            session.system.set_target(0, {{"fail", 1}});
            for (int i = 0; i < 20; ++i)
                from.call({"perceel", "bad-" + std::to_string(i)});
            const auto text = session.tiller({"report", "burn"});
            CHECK(text.code == 0);
            CHECK_THAT(text.out, Catch::Contains("perceel") &&
                                     Catch::Contains("page") &&
                                     Catch::Contains("status 500") &&
                                     Catch::Contains("version 1"));
            const auto other = session.tiller(
                {"report", "burn", "--service", "schuur", "--json"});
            CHECK(other.out == "[]\n");
            const auto path = session.system.folder() + "/burn.html";
            CHECK(session.tiller({"report", "burn", "--html", path}).code == 0);
            std::ifstream file(path);
            const std::string page((std::istreambuf_iterator<char>(file)), {});
            CHECK_THAT(page, Catch::Contains("<svg") &&
                                 Catch::Contains("perceel") &&
                                 !Catch::Contains("http://"));
            const auto account = session.tiller({"explain", "bad-3"});
            CHECK(account.code == 0);
            CHECK_THAT(account.out,
                       Catch::Contains("tried") && Catch::Contains("polder-a"));
            CHECK(session.tiller({"explain", "never"}).code == 1);
            CHECK(session.tiller({"report", "weather"}).code == 2);
        });
}

TEST_CASE("--check-config exits 2 for bad settings and 0 for those in conf/")
{
    const auto program = program_folder() + "/tillerd";
    const std::filesystem::path conf =
        std::filesystem::path(program_folder()).parent_path() / "conf";
    for (const auto* name :
         {"akkerbond-nl-west.yaml", "blue-mahoe-kingston.yaml"})
    {
        const auto output = run(
            {program, "--config", (conf / name).string(), "--check-config"});
        INFO(output.err);
        CHECK(output.code == 0);
    }
    const auto bad = std::filesystem::temp_directory_path() /
                     ("bad-" + std::to_string(::getpid()) + ".yaml");
    std::ofstream(bad) << "node:\n  rpc: here\n";
    const auto output =
        run({program, "--config", bad.string(), "--check-config"});
    std::filesystem::remove(bad);
    CHECK(output.code == 2);
    CHECK_THAT(output.err, Catch::Contains("line 2") &&
                               Catch::Contains("node.peer is missing"));
    CHECK(run({program}).code == 2);
    CHECK(run({program, "--config", "/nowhere"}).code == 2);
}
