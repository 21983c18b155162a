#include "completions.h"

namespace sapphirewheel {
namespace {

// Adds a case with the words that may follow `path`, and the cases of its subcommands.
void AddCases(const CLI::App& app, const std::string& path, std::string& cases) {
  std::string words;
  for (const CLI::App* it : app.get_subcommands({})) words += it->get_name() + " ";
  for (const CLI::Option* it : app.get_options()) {
    for (const std::string& name : it->get_lnames()) words += "--" + name + " ";
  }
  if (!words.empty()) words.pop_back();
  cases += "    '" + path + "') words='" + words + "' ;;\n";
  for (const CLI::App* it : app.get_subcommands({})) {
    AddCases(*it, path + " " + it->get_name(), cases);
  }
}

}  // namespace

std::string BashCompletions(const CLI::App& app) {
  std::string cases;
  AddCases(app, app.get_name(), cases);
  // The subcommands before the cursor select the case; other words are arguments and are skipped.
  return "_sapphirewheel() {\n"
         "  local path=sapphirewheel words= i\n"
         "  for ((i = 1; i <= COMP_CWORD; ++i)); do\n"
         "    _sapphirewheel_words \"$path\"\n"
         "    ((i < COMP_CWORD)) && [[ \" $words \" == *\" ${COMP_WORDS[i]} \"* ]] &&\n"
         "      [[ ${COMP_WORDS[i]} != -* ]] && path+=\" ${COMP_WORDS[i]}\"\n"
         "  done\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
         "}\n"
         "_sapphirewheel_words() {\n"
         "  case $1 in\n" +
         cases +
         "    *) words= ;;\n"
         "  esac\n"
         "}\n"
         "complete -F _sapphirewheel sapphirewheel\n";
}

}  // namespace sapphirewheel
