#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

/// \file
/// \brief SVG plot of maintenance wave time over reserve cost.

namespace pistachiostand::bench {

struct CurvePoint
{
  double m_x{};
  double m_y{};
  std::string m_label;
};

struct Curve
{
  std::string m_name;
  std::vector<CurvePoint> m_points;
};

struct PlotScale
{
  double m_maxX{ 1 };
  double m_maxY{ 1 };

  [[nodiscard]] double X(double aValue) const noexcept { return 60 + 500 * aValue / m_maxX; }
  [[nodiscard]] double Y(double aValue) const noexcept { return 340 - 300 * aValue / m_maxY; }
};

inline PlotScale ScaleFor(const std::vector<Curve>& aCurves)
{
  PlotScale scale;
  for (const auto& curve : aCurves) {
    for (const auto& point : curve.m_points) {
      scale.m_maxX = std::max(scale.m_maxX, point.m_x * 1.1);
      scale.m_maxY = std::max(scale.m_maxY, point.m_y * 1.1);
    }
  }
  return scale;
}

inline std::string DrawAxes(const PlotScale& aScale)
{
  std::string text = "<path d='M60 40V340H560' fill='none' stroke='black'/>\n"
                     "<text x='200' y='385'>reserve (instance-hours a day)</text>\n"
                     "<text x='20' y='230' transform='rotate(-90 20 230)'>wave (h)</text>\n";
  for (int i = 0; i <= 5; ++i) {
    const double x = aScale.m_maxX * i / 5;
    const double y = aScale.m_maxY * i / 5;
    text += fmt::format("<text x='{:.0f}' y='358' text-anchor='middle'>{:.0f}</text>\n"
                        "<text x='55' y='{:.0f}' text-anchor='end'>{:.1f}</text>\n",
                        aScale.X(x), x, aScale.Y(y) + 4, y);
  }
  return text;
}

/// \brief Draws each curve in its own color and labels each point with its weights.
inline std::string DrawCurves(const std::vector<Curve>& aCurves)
{
  constexpr std::array<const char*, 3> kColors{ "#1f5fa8", "#b5482a", "#3a7d44" };
  const PlotScale scale = ScaleFor(aCurves);
  std::string text =
    "<svg xmlns='http://www.w3.org/2000/svg' width='600' height='400' font-family='sans-serif' "
    "font-size='11'>\n<rect width='600' height='400' fill='white'/>\n"
    "<text x='60' y='20'>Wave time over reserve, by weights (buffer cost : roll-out "
    "time)</text>\n" +
    DrawAxes(scale);
  for (std::size_t i = 0; i < aCurves.size(); ++i) {
    const char* color = kColors.at(i % kColors.size());
    text += fmt::format("<text x='440' y='{}' fill='{}'>{}</text>\n", 50 + 16 * i, color,
                        aCurves[i].m_name);
    for (const auto& point : aCurves[i].m_points) {
      text += fmt::format("<circle cx='{0:.1f}' cy='{1:.1f}' r='3' fill='{2}'/>\n"
                          "<text x='{3:.1f}' y='{4:.1f}' fill='{2}'>{5}</text>\n",
                          scale.X(point.m_x), scale.Y(point.m_y), color, scale.X(point.m_x) + 5,
                          scale.Y(point.m_y) - 4, point.m_label);
    }
  }
  return text + "</svg>\n";
}

} // namespace pistachiostand::bench
