#include "Steering/account_plan.h"

#include "Placement/placement.h"

namespace amaranthhoist {

const client_account *findAccount(const steering &Steering,
                                  std::string_view ApiKey) {
  return Steering.Routes ? findAccount(Steering.Routes->Accounts, ApiKey)
                         : nullptr;
}

/// The regions in both lists, of which an empty one means all; none if they
/// have no region in common.
static std::optional<std::vector<std::string>>
commonRegions(const std::vector<std::string> &Left,
              const std::vector<std::string> &Right) {
  if (Left.empty() || Right.empty())
    return Left.empty() ? Right : Left;
  std::vector<std::string> Common;
  for (const std::string &Region : Left)
    if (isHomeRegion(Right, Region))
      Common.push_back(Region);
  if (Common.empty())
    return std::nullopt;
  return Common;
}

/// Whether requests of \p Route need an API key.
static bool needsAccount(const route_table &Table, const route &Route) {
  return !Route.IsPublic && !Table.Accounts.Accounts.empty();
}

static std::optional<refusal> applyFoundAccount(const route &Route,
                                                const client_account &Account,
                                                request_plan &Plan) {
  Plan.Account = Account.Name;
  Plan.Priority = Account.Priority.value_or(Plan.Priority);
  auto Regions = commonRegions(Route.HomeRegions, Account.HomeRegions);
  if (!Regions)
    return refusal::NoCommonRegion;
  Plan.HomeRegions = std::move(*Regions);
  return std::nullopt;
}

std::optional<refusal> applyAccount(const route_table &Table,
                                    const route &Route, std::string_view ApiKey,
                                    request_plan &Plan) {
  Plan.Version = Table.Configuration.Version;
  Plan.HomeRegions = Route.HomeRegions;
  if (!needsAccount(Table, Route))
    return std::nullopt;
  const client_account *Account = findAccount(Table.Accounts, ApiKey);
  if (!Account)
    return refusal::NoAccount;
  Plan.KeyDigest = digestOf(ApiKey);
  return applyFoundAccount(Route, *Account, Plan);
}

std::optional<refusal> applyNamedAccount(const route_table &Table,
                                         const route &Route,
                                         std::string_view Name,
                                         request_plan &Plan) {
  Plan.Version = Table.Configuration.Version;
  Plan.HomeRegions = Route.HomeRegions;
  if (!needsAccount(Table, Route))
    return std::nullopt;
  const auto &Accounts = Table.Accounts.Accounts;
  const auto Account = std::find_if(
      Accounts.begin(), Accounts.end(),
      [&](const client_account &Each) { return Each.Name == Name; });
  if (Account == Accounts.end())
    return refusal::NoAccount;
  return applyFoundAccount(Route, *Account, Plan);
}

std::optional<refusal> confirmAccount(const steering &Steering,
                                      request_plan &Plan) {
  if (Plan.Account.empty() || !Steering.Routes ||
      Plan.Version == Steering.Routes->Configuration.Version)
    return std::nullopt;
  const client_account *Account =
      findAccount(Steering.Routes->Accounts, Plan.KeyDigest);
  if (!Account)
    return refusal::NoAccount;
  Plan.Account = Account->Name;
  Plan.Version = Steering.Routes->Configuration.Version;
  return std::nullopt;
}

void countHomes(steering &Steering, const request_plan &Plan) {
  std::vector<std::size_t> Homes;
  for (const std::string &Region : Plan.HomeRegions)
    Homes.push_back(regionIndex(Steering.Targets, Region));
  countRequest(Steering.Weights[Plan.Service].HomeDemand, Homes,
               Steering.Targets.Regions.size());
}

std::vector<double>
expectedHomeShares(const steering &Steering,
                   const std::vector<client_account> &Accounts) {
  std::vector<double> Shares(Steering.Targets.Regions.size(), 0.0);
  double All = 0;
  for (const client_account &Account : Accounts) {
    All += Account.RequestsPerSecond;
    for (const std::string &Home : Account.HomeRegions)
      if (const std::size_t Region = regionIndex(Steering.Targets, Home);
          Region < Shares.size())
        Shares[Region] += Account.RequestsPerSecond /
                          static_cast<double>(Account.HomeRegions.size());
  }
  for (double &Share : Shares)
    Share = All > 0 ? Share / All : 0;
  return Shares;
}

} // namespace amaranthhoist
