/** @file How a call ended, and the proof that it did not run. */
#pragma once

#include <cassert>
#include <string_view>

namespace tillerhall
{

/** How a call ended, as far as is known. */
enum class call_end
{
    answered,  ///< the target gave a complete answer
    not_run,   ///< it did not run and will not
    unknown,   ///< it may have run
    timed_out, ///< it may have run; its deadline has passed
    cancelled  ///< by its client, or by a stop of the entry
};

std::string_view name_of(call_end end) noexcept;

/** Why it is certain that a try of a call has not run and will not. */
enum class not_run_proof
{
    none,           ///< it may have run
    not_sent,       ///< it was not sent to a target
    not_written,    ///< no byte of it was accepted for sending
    discarded,      ///< the other node discards it with the connection
    target_refusal, ///< the target's response to this send says so
    unnamed         ///< an owner says so without a reason that is known here
};

std::string_view name_of(not_run_proof proof) noexcept;

/**
 * The end of a call, or of one try of it. Callers repeat calls that did not
 * run, so that end can be made from a proof only; for the constant
 * `call_end::not_run` the conversion does not compile.
 */
class call_outcome
{
public:
    // NOLINTNEXTLINE(google-explicit-constructor): assigned from constants
    consteval call_outcome(call_end end)
        : m_end(end)
    {
        if (end == call_end::not_run)
            throw "a call that did not run needs a proof";
    }

    /** @param proof any but `none` */
    static constexpr call_outcome not_run(not_run_proof proof)
    {
        assert(proof != not_run_proof::none);
        call_outcome made(call_end::unknown);
        if (proof != not_run_proof::none)
            made.m_end = call_end::not_run;
        made.m_proof = proof;
        return made;
    }

    /** @return the outcome with these names, as sent by another node;
     * `unknown` for an end without a name. */
    static call_outcome from_names(std::string_view end,
                                   std::string_view proof) noexcept;

    // NOLINTNEXTLINE(google-explicit-constructor): compared with constants
    constexpr operator call_end() const noexcept { return m_end; }

    /** @return the proof of `not_run`; `none` for other ends. */
    constexpr not_run_proof proof() const noexcept { return m_proof; }

private:
    call_end m_end;
    not_run_proof m_proof = not_run_proof::none;
};

} // namespace tillerhall
