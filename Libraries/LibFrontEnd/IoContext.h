// The Asio objects behind IoRuntime, for the implementation files of this library only.

#pragma once

#include <utility>

#include <boost/asio.hpp>

#include <LibCore/Endpoint.h>

#include <functional>

namespace almondwing {

struct IoContext
{
    boost::asio::io_context asio;
};

template<typename Protocol>
typename Protocol::endpoint toAsio(Endpoint endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

template<typename AsioEndpoint>
Endpoint fromAsio(AsioEndpoint const &endpoint)
{
    return Endpoint{.address = endpoint.address().to_v4().to_uint(), .port = endpoint.port()};
}

} // namespace almondwing
