#include "settings.h"

namespace inference_router::soak {

namespace {

constexpr double kDeadlineOfAim = 3;  // a class's deadline, in times of its aim

}  // namespace

nlohmann::json settings(const Plan& plan) {
  nlohmann::json settings = nlohmann::json::parse(R"({
    "me":0,"peersTotal":1,"tickMs":2.0,"discovery":"push","zones":["z"],"myZone":"z","countedBy":"work",
    "kinds":["reader","writer","mixed"],
    "familyInfo":{"dutyByKind":["read","write","both"],"memoryTokens":[200000,100000,150000],"ahead":true,
      "releaseMs":300.0,"resume":false,"writersRead":true,"tokenAimMs":[70.0,50.0],
      "aimUsPer1000PromptTokens":[40000.0,60000.0],"moveFee":0.02},
    "grades":[
      {"name":"ask","effect":"idempotent","stream":true,"worth":1.0,"goalTimeMs":1000.0,
       "hardLimitMs":3000.0,"lateShare":0.2},
      {"name":"change","effect":"at_most_once","stream":true,"worth":2.0,"goalTimeMs":1000.0,
       "hardLimitMs":3000.0,"lateShare":0.3}],
    "orgs":[{"name":"club","share":1.0,"allowancePerS":200.0}],
    "contract":{"askWithinMs":10000.0,"coldFrom":0.3,"coldMs":13000.0,"drainGraceMs":1000.0,"fallMs":1500.0,
      "graceToAnswerMs":8.0,"overloadFactor":2.5},
    "limits":{"cancel":true,"peers":false,"probing":false,"secondCopies":false,"retryAfter":true,
      "maxAttempts":4,"maxRetryAfterMs":2000.0,"dialTimeoutMs":250.0,"idleCloseMs":30000.0},
    "report":{"how":"off"}})");
  settings["peersTotal"] = plan.routers;
  settings["contract"]["coldMs"] = plan.warmupMs;
  settings["orgs"][0]["allowancePerS"] = plan.allowancePerS;
  if (plan.allowancePerS <= 0)
    settings["orgs"] = nlohmann::json::array();
  for (nlohmann::json& grade : settings["grades"]) {
    grade["hardLimitMs"] = plan.maxDeadlineMs;
    grade["goalTimeMs"] = plan.maxDeadlineMs / kDeadlineOfAim;
  }
  return settings;
}

SlowStartRule slowStartRuleOf(const Plan& plan) {
  const nlohmann::json contract = settings(plan)["contract"];
  return {.initialShare = contract["coldFrom"],
          .warmupMs = contract["coldMs"],
          .overloadFactor = contract["overloadFactor"],
          .windowMs = contract["fallMs"],
          .capacityPerS = plan.capacityPerS};
}

}  // namespace inference_router::soak
