#include "LoadReport.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace Balsammill::Standin {

namespace {

constexpr double width = 960;
constexpr double height = 420;
constexpr double leftMargin = 60;
constexpr double rightMargin = 170;
constexpr double topMargin = 20;
constexpr double bottomMargin = 40;
constexpr std::size_t bucketCount = 120;
// Range of the logarithmic axis of response times in milliseconds, as exponents of ten.
constexpr double minExponent = -1;
constexpr double maxExponent = 4.5;
constexpr std::array colours { "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf", "#8c564b", "#7f7f7f" };

using Buckets = std::array<std::vector<double>, bucketCount>;

double xOf(double share) { return leftMargin + share * (width - leftMargin - rightMargin); }

double yOf(double milliseconds)
{
    const auto exponent = std::clamp(std::log10(std::max(milliseconds, 1e-3)), minExponent, maxExponent);
    return height - bottomMargin
        - (exponent - minExponent) / (maxExponent - minExponent) * (height - topMargin - bottomMargin);
}

Buckets fillBuckets(const LoadClassResult& result, Duration length)
{
    Buckets buckets;
    for (const auto& sample : result.samples) {
        if (sample.outcome != CallOutcome::Completed)
            continue;
        const auto share = static_cast<double>(sample.arrival.count()) / static_cast<double>(length.count());
        const auto index = std::min(static_cast<std::size_t>(share * bucketCount), bucketCount - 1);
        buckets.at(index).push_back(static_cast<double>(sample.response.count()) / 1000);
    }
    return buckets;
}

void drawLine(std::ostream& svg, const Buckets& buckets, double Percentiles::*percentile, const char* style)
{
    svg << "<polyline fill='none' " << style << " points='";
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (!buckets.at(i).empty()) {
            const auto share = (static_cast<double>(i) + 0.5) / bucketCount;
            svg << xOf(share) << ',' << yOf(percentilesOf(buckets.at(i)).*percentile) << ' ';
        }
    }
    svg << "'/>\n";
}

void drawAxes(std::ostream& svg, Duration length)
{
    for (int exponent = static_cast<int>(minExponent); exponent <= static_cast<int>(maxExponent); ++exponent) {
        const auto y = yOf(std::pow(10, exponent));
        svg << "<line x1='" << leftMargin << "' x2='" << width - rightMargin << "' y1='" << y << "' y2='" << y
            << "' stroke='#ddd'/><text x='" << leftMargin - 6 << "' y='" << y + 4 << "' text-anchor='end'>"
            << std::pow(10, exponent) << "</text>\n";
    }
    const auto seconds = std::chrono::duration<double>(length).count();
    for (int i = 0; i <= 10; ++i) {
        svg << "<text x='" << xOf(i / 10.0) << "' y='" << height - bottomMargin + 16 << "' text-anchor='middle'>"
            << std::round(seconds * i) / 10 << "</text>\n";
    }
    svg << "<text x='" << xOf(0.5) << "' y='" << height - 6
        << "' text-anchor='middle'>arrival [s]</text><text x='12' y='" << height / 2 << "' transform='rotate(-90 12 "
        << height / 2 << ")' text-anchor='middle'>response [ms]</text>\n";
}

std::string escape(const std::string& text)
{
    std::string escaped;
    for (const char c : text)
        escaped += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
    return escaped;
}

} // namespace

std::string plotResponses(const std::vector<std::pair<std::string, const LoadClassResult*>>& classes, Duration length)
{
    std::ostringstream svg;
    svg << "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 " << width << ' ' << height
        << "' font-family='sans-serif' font-size='12'>\n<rect width='100%' height='100%' fill='white'/>\n";
    drawAxes(svg, length);
    double legendY = topMargin + 10;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const std::string colour = colours.at(i % colours.size());
        const auto buckets = fillBuckets(*classes[i].second, length);
        drawLine(svg, buckets, &Percentiles::p50, ("stroke-width='1.5' stroke='" + colour + "'").c_str());
        drawLine(svg, buckets, &Percentiles::p99, ("stroke-dasharray='4 3' stroke='" + colour + "'").c_str());
        svg << "<text x='" << width - rightMargin + 10 << "' y='" << legendY << "' fill='" << colour << "'>"
            << escape(classes[i].first) << "</text>\n";
        legendY += 18;
    }
    svg << "<text x='" << width - rightMargin + 10 << "' y='" << legendY << "'>line p50, dashed p99</text>\n</svg>\n";
    return svg.str();
}

} // namespace Balsammill::Standin
