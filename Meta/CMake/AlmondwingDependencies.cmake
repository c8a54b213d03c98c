# External libraries, all from Debian packages that Meta/install-packages.sh installs.

find_package(absl REQUIRED)
find_package(fmt REQUIRED)
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(glog REQUIRED)
find_package(CLI11 REQUIRED)
find_package(tomlplusplus REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(Protobuf REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(benchmark REQUIRED)
