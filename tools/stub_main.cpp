#include "stub_main.h"

#include <iostream>

#include "base/process.h"

int main(int _argc, char** _argv)
{
	archdyke::blockStopSignals();
	try
	{
		archdyke::stub::runStub(nlohmann::json::parse(1 < _argc ? _argv[1] : "{}"));
		return 0;
	}
	catch (const std::exception& error)
	{
		std::cerr << _argv[0] << ": " << error.what() << "\n";
		return 2;
	}
}
