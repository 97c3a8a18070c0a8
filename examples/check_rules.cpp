// Reads a rule file with the library and prints the promised capacity of each pool.
//
//   check_rules examples/cotton-row.rules.toml

#include "pistachiostand/version/RuleParser.h"

#include <fstream>
#include <iostream>
#include <iterator>

int main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "usage: check_rules RULES\n";
    return 2;
  }
  std::ifstream stream{ argv[1], std::ios::binary };
  if (!stream) {
    std::cerr << argv[1] << ": cannot be read\n";
    return 2;
  }
  const std::string text{ std::istreambuf_iterator<char>{ stream }, {} };

  pistachiostand::Reasons reasons;
  const auto rules = pistachiostand::ParseRules(text, reasons);
  if (!rules) {
    for (const auto& reason : reasons) {
      std::cerr << pistachiostand::Format(reason, argv[1]) << '\n';
    }
    return 1;
  }
  for (const auto& [name, pool] : rules->m_pools) {
    std::cout << name << ": " << pool.m_instances << " instances, at least " << pool.m_minAvailable
              << " serving, requested by " << rules->m_origins.at("pool." + name).m_requester
              << '\n';
  }
  return 0;
}
