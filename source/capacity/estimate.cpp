#include "capacity/estimate.hpp"

#include <algorithm>
#include <cmath>

#include "capacity/limits.hpp"

namespace lovagetack::capacity {
namespace {

/// 1 until `begin`, then falling to 0 at `end`.
double remaining(std::chrono::microseconds age, std::chrono::microseconds begin, std::chrono::microseconds end) {
    const auto span = static_cast<double>((end - begin).count());
    return std::clamp(static_cast<double>((end - age).count()) / span, 0.0, 1.0);
}

double as_number(std::chrono::microseconds time) {
    return static_cast<double>(time.count());
}

double weight_of(double weight, std::int32_t observations) {
    return 1.0 - std::pow(1.0 - weight, observations);
}

/// Requests in progress that share a band.
std::int32_t band_width(std::int32_t slots, std::int32_t bands) {
    return (std::max(1, slots) + bands - 1) / bands;
}

} // namespace

std::int32_t estimate::band_of(std::int32_t in_progress, std::int32_t slots) {
    return (std::clamp(in_progress, 1, std::max(1, slots)) - 1) / band_width(slots, most_bands);
}

std::int32_t estimate::most_of(std::int32_t band, std::int32_t slots) {
    return std::min(std::max(1, slots), (band + 1) * band_width(slots, most_bands));
}

void estimate::average(std::chrono::microseconds observed, std::int32_t observations,
                       std::chrono::microseconds assumed) {
    const double before = known_ ? recent_ : as_number(assumed);
    recent_ = before + weight_of(recent_weight, observations) * (as_number(observed) - before);
    usual_ = recent_;
    known_ = true;
}

void estimate::learn(base::boot_time now, const answer& answer, std::chrono::microseconds assumed) {
    learn_time(now, as_number(answer.work), 1, answer.warm, as_number(assumed));
    answered_at_ = now;
    if (answer.warm) {
        learn_band(now, answer);
        lower_limit(now, answer.slots);
        try_fewer(now, answer.slots, as_number(assumed));
    }
}

void estimate::learn_reported(base::boot_time now, std::chrono::microseconds observed, std::int32_t observations,
                              std::chrono::microseconds assumed) {
    if (now - answered_at_ >= own_answers_suffice) {
        learn_time(now, as_number(observed), observations, true, as_number(assumed));
    }
}

void estimate::learn_time(base::boot_time now, double observed, std::int32_t observations, bool warm, double assumed) {
    if (!known_) {
        recent_ = assumed;
        usual_ = assumed;
        known_ = true;
    }
    const double reference = std::max(1.0, recent_);
    const double clipped = std::clamp(observed, reference / largest_step, reference * largest_step);
    recent_ += weight_of(recent_weight, observations) * (clipped - recent_);
    learned_at_ = now;
    if (!warm) {
        return;
    }
    const double usual = std::max(1.0, usual_);
    const double limited = std::clamp(observed, usual / largest_step, usual * largest_step);
    // The first answers count more, until the weight is that of a lasting average.
    double weight = weight_of(std::max(usual_weight, 1.0 / (answers_ + 2.0)), observations);
    const double spell = recent_ / usual;
    if (spell > spell_ratio || spell < 1.0 / spell_ratio) {
        weight *= spell_weight_share;
    }
    usual_ += weight * (limited - usual_);
    answers_ = std::min(1000, answers_ + observations);
}

std::chrono::microseconds estimate::time(base::boot_time now, std::chrono::microseconds assumed) const {
    if (!known_) {
        return assumed;
    }
    const double others = as_number(assumed);
    const double usual = others + remaining(age(now), usual_fades_after, usual_forgotten_after) * (usual_ - others);
    return in_microseconds(usual + remaining(age(now), recent_fades_after, recent_forgotten_after) * (recent_ - usual));
}

void estimate::learn_band(base::boot_time now, const answer& answer) {
    // Requests from before the limit was lowered ran beside more others than there are now.
    if (answer.sent < lowered_at_) {
        return;
    }
    auto& band = bands_[static_cast<std::size_t>(band_of(answer.in_progress, answer.slots))];
    if (now - band.at > reference_age) {
        band = {};
    }
    auto observed = static_cast<float>(answer.work.count());
    if (band.answers > 0) {
        observed = std::min(observed, band.mean * static_cast<float>(largest_step));
    }
    band.answers = std::min(fewest_answers, band.answers + 1);
    const auto share = 1.0F / static_cast<float>(band.answers);
    const float difference = observed - band.mean;
    band.mean += share * difference;
    band.variance = (1.0F - share) * (band.variance + share * difference * difference);
    band.at = now;
}

bool estimate::is_evidence(const band& band, base::boot_time now, std::chrono::microseconds age) const {
    const bool lowered_lately = lowered_at_ != base::boot_time() && now - lowered_at_ <= reference_age;
    return band.answers >= (lowered_lately ? fewest_answers / 2 : fewest_answers) && now - band.at <= age;
}

bool estimate::exceeds(const band& fuller, const band& reference, double ratio) {
    const auto relative = [](const band& band) {
        return band.variance / (band.mean * band.mean * static_cast<float>(band.answers));
    };
    const double noise = noise_errors * std::sqrt(relative(fuller) + relative(reference));
    return fuller.mean > reference.mean * ratio * (1.0 + least_loss + noise);
}

void estimate::lower_limit(base::boot_time now, std::int32_t slots) {
    const auto rate = [&](std::int32_t number) {
        return static_cast<float>(most_of(number, slots)) /
               std::max(1.0F, bands_[static_cast<std::size_t>(number)].mean);
    };
    const auto last = band_of(slots, slots);
    auto best = -1;
    auto fullest = -1;
    for (auto number = 0; number <= last; ++number) {
        const auto& band = bands_[static_cast<std::size_t>(number)];
        if (is_evidence(band, now, reference_age) && (best < 0 || rate(number) > rate(best))) {
            best = number;
        }
        if (is_evidence(band, now, loss_age)) {
            fullest = number;
        }
    }
    if (best < 0 || fullest <= best) {
        return;
    }
    const double more = static_cast<double>(most_of(fullest, slots)) / most_of(best, slots);
    if (!exceeds(bands_[static_cast<std::size_t>(fullest)], bands_[static_cast<std::size_t>(best)], more)) {
        return;
    }
    const bool again = lowered_to_ > 0 && now - lowered_at_ <= reference_age;
    kept_ = again ? std::clamp(kept_ * 2, limit_kept, longest_limit_kept) : limit_kept;
    lowered_to_ = best + 1;
    lowered_at_ = now;
    // Fuller bands are judged by what is answered from now on.
    std::fill(bands_.begin() + lowered_to_, bands_.end(), band());
}

void estimate::try_fewer(base::boot_time now, std::int32_t slots, double assumed) {
    const auto last = band_of(slots, slots);
    const bool is_slow = recent_ > assumed * slow_ratio;
    if (last == 0 || !is_slow || now < next_trial_ || limit(now, slots) < slots ||
        !is_evidence(bands_[static_cast<std::size_t>(last)], now, loss_age)) {
        return;
    }
    const bool has_reference = std::any_of(bands_.begin(), bands_.begin() + last,
                                           [&](const band& band) { return is_evidence(band, now, reference_age); });
    if (has_reference) {
        return;
    }
    next_trial_ = now + trial_period;
    lowered_to_ = (last + 1) / 2;
    lowered_at_ = now;
    // The requests in progress have to end before fewer are seen.
    kept_ = std::clamp(in_microseconds(2 * recent_), limit_kept, longest_limit_kept);
}

std::int32_t estimate::limit(base::boot_time now, std::int32_t slots) const {
    slots = std::max(1, slots);
    if (lowered_to_ == 0) {
        return slots;
    }
    const auto passed = std::max(std::chrono::microseconds(0), now - lowered_at_ - kept_);
    const auto risen = lowered_to_ + static_cast<std::int64_t>(passed / limit_rise_period);
    return risen > band_of(slots, slots) ? slots : most_of(static_cast<std::int32_t>(risen) - 1, slots);
}

std::optional<double> estimate::slowdown(base::boot_time now, std::int32_t in_progress, std::int32_t slots) const {
    const auto number = band_of(in_progress, slots);
    const auto& fuller = bands_[static_cast<std::size_t>(number)];
    if (!is_evidence(fuller, now, reference_age)) {
        return std::nullopt;
    }
    for (auto lighter = 0; lighter < number; ++lighter) {
        const auto& reference = bands_[static_cast<std::size_t>(lighter)];
        if (is_evidence(reference, now, reference_age)) {
            return exceeds(fuller, reference, 1.0)
                       ? std::optional(std::min<double>(largest_slowdown, fuller.mean / reference.mean))
                       : std::nullopt;
        }
    }
    return std::nullopt;
}

} // namespace lovagetack::capacity
