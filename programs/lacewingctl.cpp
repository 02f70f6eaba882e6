// lacewingctl: the operators' command line. All of it is in the library; see operatorcommands.h.

#include <iostream>
#include <span>

#include "commandline.h"
#include "operatorcommands.h"

int main(int argc, char **argv)
{
    using namespace lacewing;
    const std::span<const char *const> arguments(argv, static_cast<std::size_t>(argc));
    const CommandLineReading reading = readCommandLine(arguments, processEnvironment());
    if (!reading.run) {
        (reading.faulty ? std::cerr : std::cout) << reading.text;
        return static_cast<int>(reading.faulty ? CommandExit::Usage : CommandExit::Done);
    }
    return static_cast<int>(runOperatorCommand(reading.line, std::cout, std::cerr));
}
