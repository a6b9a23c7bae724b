#include "RouteTable/route_table.h"

#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {

/// Maximum deviation of a part's share from its weight before requests are
/// assigned by count instead of by object. A fifth of the 0.1 that operators
/// allow, since each instance splits independently and their errors may add up.
static constexpr double SplitTolerance = 0.02;
/// Number of requests after which the counts are halved, so that a route's
/// split follows its recent traffic and not its whole history.
static constexpr double HalveCountsAbove = 400;

static std::string hostWithoutPort(std::string_view Host) {
  return toLower(Host.substr(0, Host.find(':')));
}

route_table makeRouteTable(configuration Configuration) {
  route_table Table;
  Table.Configuration = std::move(Configuration);
  Table.Accounts =
      makeAccountDirectory(std::move(Table.Configuration.Accounts));
  Table.Configuration.Accounts.clear();
  const std::vector<route> &Routes = Table.Configuration.Routes;
  for (std::size_t Index = 0; Index < Routes.size(); ++Index) {
    Table.ByHost[hostWithoutPort(Routes[Index].Host)].push_back(Index);
    Table.SentByPart.emplace_back(Routes[Index].Parts.size(), 0.0);
  }
  for (auto &[Host, Indices] : Table.ByHost)
    std::stable_sort(Indices.begin(), Indices.end(),
                     [&](std::size_t Left, std::size_t Right) {
                       return Routes[Left].PathPrefix.size() >
                              Routes[Right].PathPrefix.size();
                     });
  for (std::size_t Index = 0; Index < Table.Configuration.Services.size();
       ++Index)
    Table.ServiceByName[Table.Configuration.Services[Index].Name] = Index;
  return Table;
}

std::string_view findHost(const route_table &Table, std::string_view Host) {
  auto Found = Table.ByHost.find(hostWithoutPort(Host));
  return Found == Table.ByHost.end() ? std::string_view()
                                     : std::string_view(Found->first);
}

std::size_t findRoute(const route_table &Table, std::string_view Host,
                      std::string_view Path) {
  auto Found = Table.ByHost.find(hostWithoutPort(Host));
  if (Found == Table.ByHost.end())
    return std::string_view::npos;
  for (std::size_t Index : Found->second)
    if (Path.starts_with(Table.Configuration.Routes[Index].PathPrefix))
      return Index;
  return std::string_view::npos;
}

/// The part that \p KeyHash falls into when the parts are laid out on a line,
/// each with a length equal to its weight.
static std::size_t partOfKey(const std::vector<route_part> &Parts,
                             double TotalWeight, std::uint64_t KeyHash) {
  constexpr double Range = 18446744073709551616.0;
  double Point = static_cast<double>(KeyHash) / Range * TotalWeight;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (Point < Parts[Index].Weight)
      return Index;
    Point -= Parts[Index].Weight;
  }
  return Parts.size() - 1;
}

/// The part that is furthest below its share of requests.
static std::size_t mostUnderservedPart(const std::vector<route_part> &Parts,
                                       double TotalWeight,
                                       const std::vector<double> &Sent,
                                       double TotalSent) {
  std::size_t Best = 0;
  double MostLacking = -1e300;
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    const double Lacking =
        Parts[Index].Weight / TotalWeight * (TotalSent + 1) - Sent[Index];
    if (Lacking > MostLacking) {
      MostLacking = Lacking;
      Best = Index;
    }
  }
  return Best;
}

const std::string &chooseService(route_table &Table, std::size_t Index,
                                 std::uint64_t KeyHash) {
  const std::vector<route_part> &Parts =
      Table.Configuration.Routes[Index].Parts;
  if (Parts.size() == 1)
    return Parts.front().Service;
  std::vector<double> &Sent = Table.SentByPart[Index];
  double TotalWeight = 0;
  double TotalSent = 0;
  for (std::size_t Part = 0; Part < Parts.size(); ++Part) {
    TotalWeight += Parts[Part].Weight;
    TotalSent += Sent[Part];
  }
  std::size_t Chosen = partOfKey(Parts, TotalWeight, KeyHash);
  const double Share = (Sent[Chosen] + 1) / (TotalSent + 1);
  const double Wanted = Parts[Chosen].Weight / TotalWeight;
  // A count can be off by at least one request.
  if (Share > Wanted + SplitTolerance + 1 / (TotalSent + 1))
    Chosen = mostUnderservedPart(Parts, TotalWeight, Sent, TotalSent);
  Sent[Chosen] += 1;
  if (TotalSent > HalveCountsAbove)
    for (double &Count : Sent)
      Count /= 2;
  return Parts[Chosen].Service;
}

const service *findService(const route_table &Table, std::string_view Name) {
  auto Found = Table.ServiceByName.find(Name);
  return Found == Table.ServiceByName.end()
             ? nullptr
             : &Table.Configuration.Services[Found->second];
}

} // namespace amaranthhoist
